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
    void tableInTheDocsHasTheCodesOfTheProgram() throws IOException {
        Path table = Path.of(System.getProperty("siskintrail.root"), "docs", "RESULT-CODES.md");
        List<String> rows =
                Files.readAllLines(table).stream().filter(l -> l.matches("\\| \\d+ .*")).toList();
        List<String> codes =
                Arrays.stream(ResultCode.values())
                        .map(
                                c ->
                                        "| %d | %s | %d | %s |"
                                                .formatted(
                                                        c.number(), c, c.httpStatus(), c.meaning()))
                        .toList();
        assertThat(rows).containsExactlyElementsIn(codes).inOrder();
    }

    @Test
    void numbersAreUnique() {
        List<Integer> numbers = Arrays.stream(ResultCode.values()).map(ResultCode::number).toList();
        assertThat(numbers).containsNoDuplicates();
    }
}
