package io.siskintrail.bench.path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** Times the first token of one request, to a router or to an engine. */
final class FirstToken {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MICRO = 1_000;

    private FirstToken() {}

    static long micros(String address, String prompt) throws IOException {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("model", PathDeployment.MODEL.model())
                .put("version", PathDeployment.MODEL.version())
                .put("prompt", prompt)
                .put("seed", 1)
                .put("max_tokens", 1)
                .put("stream", true);
        byte[] body = json.toString().getBytes(StandardCharsets.UTF_8);
        HttpURLConnection http =
                (HttpURLConnection)
                        URI.create("http://" + address + "/v1/completions")
                                .toURL()
                                .openConnection();
        http.setDoOutput(true);
        http.setRequestProperty("Authorization", "Bearer " + PathDeployment.API_KEY);
        http.setRequestProperty("Content-Type", "application/json");
        long begin = System.nanoTime();
        http.getOutputStream().write(body);
        try (BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(http.getInputStream(), StandardCharsets.UTF_8))) {
            String line = lines.readLine();
            while (line != null && !line.contains("token_ids")) {
                line = lines.readLine();
            }
            long micros = (System.nanoTime() - begin) / NANOS_PER_MICRO;
            while (line != null) {
                line = lines.readLine();
            }
            return micros;
        }
    }
}
