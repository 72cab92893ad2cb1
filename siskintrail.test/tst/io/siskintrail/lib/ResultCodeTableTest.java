package io.siskintrail.lib;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodeTableTest {

    @Test
    void documentedTableMatchesResultCodes() throws IOException {
        Path table = Path.of(System.getProperty("siskintrail.root"), "docs", "RESULT-CODES.md");
        List<String> documentedRows =
                Files.readAllLines(table).stream()
                        .filter(line -> line.matches("\\| \\d+ .*"))
                        .toList();
        List<String> expectedRows =
                Arrays.stream(ResultCode.values())
                        .map(
                                code ->
                                        "| %d | %s | %d | %s |"
                                                .formatted(
                                                        code.number(),
                                                        code,
                                                        code.httpStatus(),
                                                        code.meaning()))
                        .toList();
        assertThat(documentedRows).containsExactlyElementsIn(expectedRows).inOrder();
    }

    @Test
    void numbersAreUnique() {
        List<Integer> numbers = Arrays.stream(ResultCode.values()).map(ResultCode::number).toList();
        assertThat(numbers).containsNoDuplicates();
    }
}
