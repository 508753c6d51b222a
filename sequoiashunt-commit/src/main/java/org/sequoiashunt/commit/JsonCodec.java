package org.sequoiashunt.commit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Writes records as canonical JSON and reads them back strictly.
 *
 * <p>Canonical means: properties and map keys in alphabetical order, no white space, so that equal records give equal
 * bytes. Reading refuses unknown and missing properties, null for a
 * primitive value or the whole document, and content after the document. Not instantiable; thread-safe.
 */
public final class JsonCodec {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .disable(MapperFeature.SORT_CREATOR_PROPERTIES_FIRST)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private JsonCodec() {}

    /**
     * Writes a record.
     *
     * @param document the record, not null; its components are of types that JSON can hold.
     * @return the bytes in UTF-8, never null.
     * @throws IllegalArgumentException if the record has a component that JSON cannot hold.
     */
    public static byte[] write(final Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot be written as JSON: " + document.getClass(), exception);
        }
    }

    /**
     * Writes a record as indented JSON for people to read.
     *
     * @param document the record, not null.
     * @return the JSON text, on several lines, never null.
     * @throws IllegalArgumentException if the record has a component that JSON cannot hold.
     */
    public static String writePretty(final Object document) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot be written as JSON: " + document.getClass(), exception);
        }
    }

    /**
     * Reads a record.
     *
     * @param <T> the type of the record.
     * @param bytes the bytes in UTF-8, not null.
     * @param type the class of the record, not null.
     * @return the record, never null.
     * @throws IOException if the bytes are not a whole document of this type; the message can be shown to operators.
     */
    public static <T> T read(final byte[] bytes, final Class<T> type) throws IOException {
        try {
            T document = MAPPER.readValue(bytes, type);
            if (document == null) {
                throw new IOException("the document is null");
            }
            return document;
        } catch (JsonProcessingException exception) {
            throw new IOException(exception.getOriginalMessage(), exception);
        }
    }
}
