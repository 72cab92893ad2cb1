package io.siskintrail.service;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.siskintrail.lib.Failure;
import io.siskintrail.lib.Result;
import io.siskintrail.lib.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

/**
 * Reads a settings file in JSON into a record and checks it as a whole. A failure names the file,
 * the key and what was expected.
 */
public final class SettingsReader {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .build();

    private SettingsReader() {}

    /**
     * Reads {@code file} as a {@code type}.
     *
     * @param file a JSON file in UTF-8
     * @param type a record; its constructor throws {@link SettingsException} for values out of
     *     range
     * @param <T> the record
     * @return the settings, or a failure with a 2xxx code
     */
    public static <T> Result<T> read(Path file, Class<T> type) {
        try {
            return Result.ok(MAPPER.readValue(Files.readString(file), type));
        } catch (UnrecognizedPropertyException e) {
            return err(ResultCode.SETTINGS_UNKNOWN_KEY, file, key(e), known(e));
        } catch (JsonMappingException e) {
            return mappingFailure(file, e);
        } catch (JsonProcessingException e) {
            return err(ResultCode.SETTINGS_UNREADABLE, file, "-", e.getOriginalMessage());
        } catch (IOException e) {
            return err(ResultCode.SETTINGS_UNREADABLE, file, "-", "cannot read: " + e.getMessage());
        }
    }

    private static <T> Result<T> mappingFailure(Path file, JsonMappingException e) {
        if (e.getCause() instanceof SettingsException s) {
            String prefix = key(e);
            String full = prefix.equals("-") ? s.key() : prefix + "." + s.key();
            return err(ResultCode.SETTINGS_OUT_OF_RANGE, file, full, "expected " + s.expected());
        }
        return err(ResultCode.SETTINGS_WRONG_TYPE, file, key(e), e.getOriginalMessage());
    }

    private static <T> Result<T> err(ResultCode code, Path file, String key, String what) {
        return new Result.Err<>(
                new Failure(code, "file %s, key %s: %s".formatted(file, key, what)));
    }

    private static String known(UnrecognizedPropertyException e) {
        return "expected one of " + e.getKnownPropertyIds();
    }

    private static String key(JsonMappingException e) {
        if (e.getPath().isEmpty()) {
            return "-";
        }
        return e.getPath().stream()
                .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : r.getFieldName())
                .collect(Collectors.joining("."));
    }
}
