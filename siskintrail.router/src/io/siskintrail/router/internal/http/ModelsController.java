package io.siskintrail.router.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.siskintrail.lib.ModelId;
import io.siskintrail.router.internal.endpoint.EndpointDirectory;

/** Lists the models that callers can ask for. */
@Controller("/v1/models")
final class ModelsController {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EndpointDirectory directory;

    ModelsController(EndpointDirectory directory) {
        this.directory = directory;
    }

    @Get
    String list() {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        directory.models().stream()
                .map(ModelsController::callerName)
                .distinct()
                .sorted()
                .forEach(name -> describe(data.addObject(), name));
        return root.toString();
    }

    private static void describe(ObjectNode node, String name) {
        node.put("id", name);
        node.put("object", "model");
        node.put("created", 0);
        node.put("owned_by", "siskintrail");
    }

    private static String callerName(ModelId model) {
        return model.adapter().isEmpty() ? model.model() : model.model() + "+" + model.adapter();
    }
}
