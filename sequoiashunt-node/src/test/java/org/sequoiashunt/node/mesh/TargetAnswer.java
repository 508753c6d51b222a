package org.sequoiashunt.node.mesh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Answer of a fake target as it stands on the wire: a head and a body, with at most one flaw in the head.
 *
 * <p>Immutable. The body is derived from the signature, so that parts of two answers never make a third one.
 *
 * @param status the HTTP status.
 * @param identity the request identity that the answer echoes.
 * @param signature the signature, unique to a run of a request; empty in a refusal.
 * @param framing how the end of the body is stated.
 * @param flaw what is wrong with the head.
 * @param connectionField a whole line with its end about the connection's reuse, may be empty.
 */
record TargetAnswer(int status, String identity, String signature, Framing framing, Flaw flaw, String connectionField) {

    static final String NOTE_FIELD = "X-Note";

    private static final int CHUNK_SIZE = 7;
    private static final String LINE_END = "\r\n";
    private static final int HEXADECIMAL = 16;

    /** How the end of a body is stated. */
    enum Framing {
        LENGTH {
            @Override
            String field(final String body) {
                return "Content-Length: " + body.length() + LINE_END;
            }

            @Override
            String encode(final String body) {
                return body;
            }
        },
        CHUNKED {
            @Override
            String field(final String body) {
                return "Transfer-Encoding: chunked" + LINE_END;
            }

            @Override
            String encode(final String body) {
                return chunks(body) + LINE_END;
            }
        },
        CHUNKED_WITH_TRAILER {
            @Override
            String field(final String body) {
                return "Transfer-Encoding: chunked" + LINE_END;
            }

            @Override
            String encode(final String body) {
                return chunks(body) + "X-Checked: yes" + LINE_END + LINE_END;
            }
        },
        CONNECTION_END {
            @Override
            String field(final String body) {
                return "";
            }

            @Override
            String encode(final String body) {
                return body;
            }
        },
        /** For the statuses whose answers have no body. */
        NO_BODY {
            @Override
            String field(final String body) {
                return "";
            }

            @Override
            String encode(final String body) {
                return "";
            }
        };

        abstract String field(String body);

        abstract String encode(String body);

        boolean isChunked() {
            return this == CHUNKED || this == CHUNKED_WITH_TRAILER;
        }

        /** Returns the chunks and the line of the last one, without the end of the trailers. */
        private static String chunks(final String body) {
            StringBuilder encoded = new StringBuilder();
            for (int start = 0; start < body.length(); start += CHUNK_SIZE) {
                String chunk = body.substring(start, Math.min(start + CHUNK_SIZE, body.length()));
                encoded.append(Integer.toHexString(chunk.length()))
                        .append(LINE_END)
                        .append(chunk)
                        .append(LINE_END);
            }
            return encoded.append('0').append(LINE_END).toString();
        }
    }

    /** What is wrong with a head. A reader may accept the answer only if the flaw is harmless. */
    enum Flaw {
        NONE(true),
        BARE_LINE_FEEDS(true) {
            @Override
            String apply(final String head) {
                return head.replace(LINE_END, "\n");
            }
        },
        EMPTY_LINE_FIRST(true) {
            @Override
            String apply(final String head) {
                return LINE_END + head;
            }
        },
        FOLDED_LINE(true) {
            @Override
            String apply(final String head) {
                return withLine(head, NOTE_FIELD + ": a" + LINE_END + " b");
            }
        },
        OLD_VERSION(true) {
            @Override
            String apply(final String head) {
                return head.replace("HTTP/1.1", "HTTP/1.0");
            }
        },
        STATUS_LINE_FIRST(false) {
            @Override
            String apply(final String head) {
                return "HTTP/1.1 200 OK" + LINE_END + head;
            }
        },
        STATUS_LINE_INSIDE(false) {
            @Override
            String apply(final String head) {
                return withLine(head, "HTTP/1.1 500 Failed");
            }
        },
        LINE_WITHOUT_COLON(false) {
            @Override
            String apply(final String head) {
                return withLine(head, "no field");
            }
        },
        BARE_CARRIAGE_RETURN(false) {
            @Override
            String apply(final String head) {
                return withLine(head, NOTE_FIELD + ": a\rb");
            }
        },
        SPACE_BEFORE_COLON(false) {
            @Override
            String apply(final String head) {
                return withLine(head, NOTE_FIELD + " : a");
            }
        },
        OTHER_IDENTITY_TOO(false) {
            @Override
            String apply(final String head) {
                return head.replaceFirst("(Request-Id: [^\r]*\r\n)", "$1Request-Id: other\r\n");
            }
        },
        OTHER_SIGNATURE_TOO(false) {
            @Override
            String apply(final String head) {
                return head.replaceFirst("(Signature: [^\r]*\r\n)", "$1Signature: other\r\n");
            }
        },
        LENGTH_TWICE(false) {
            @Override
            String apply(final String head) {
                return head.replaceFirst("(Content-Length: [^\r]*\r\n)", "$1$1");
            }
        },
        LENGTH_BESIDE_CHUNKS(false) {
            @Override
            String apply(final String head) {
                return head.replaceFirst("(Transfer-Encoding: [^\r]*\r\n)", "Content-Length: 3\r\n$1");
            }
        };

        private final boolean harmless;

        Flaw(final boolean harmless) {
            this.harmless = harmless;
        }

        boolean isHarmless() {
            return harmless;
        }

        String apply(final String head) {
            return head;
        }

        private static String withLine(final String head, final String line) {
            int end = head.indexOf(LINE_END) + LINE_END.length();
            return head.substring(0, end) + line + LINE_END + head.substring(end);
        }
    }

    boolean isRefusal() {
        return signature.isEmpty();
    }

    String body() {
        return framing == Framing.NO_BODY || isRefusal() ? "" : ("body of " + signature + ";").repeat(2);
    }

    private String plainHead() {
        String note =
                isRefusal() ? (status == 421 ? "" : "Not-Run: full" + LINE_END) : "Signature: " + signature + LINE_END;
        return "HTTP/1.1 " + status + " Reason" + LINE_END + NOTE_FIELD + ": n" + LINE_END + "Request-Id: " + identity
                + LINE_END + note + connectionField + framing.field(body()) + LINE_END;
    }

    String head() {
        return flaw.apply(plainHead());
    }

    String bytes() {
        return head() + framing.encode(body());
    }

    /** Returns the cuts of a chunked answer that are neither in its head nor in the data of a chunk. */
    List<Integer> cutsBetweenChunks() {
        List<Integer> cuts = new ArrayList<>();
        String bytes = bytes();
        int position = head().length();
        int size = framing.isChunked() ? 1 : 0;
        while (size > 0) {
            int lineEnd = bytes.indexOf(LINE_END, position);
            size = Integer.parseInt(bytes.substring(position, lineEnd), HEXADECIMAL);
            int dataStart = lineEnd + LINE_END.length();
            int dataEnd = size > 0 ? dataStart + size : bytes.length();
            IntStream.range(position, dataStart).forEach(cuts::add);
            IntStream.range(size > 0 ? dataEnd : dataStart, Math.min(dataEnd + LINE_END.length(), bytes.length()))
                    .forEach(cuts::add);
            position = dataEnd + LINE_END.length();
        }
        return cuts;
    }

    /** Returns whether a strict reader accepts the head; a flaw for which the head has no place changes nothing. */
    boolean isAcceptable() {
        return flaw.isHarmless() && !(flaw == Flaw.OLD_VERSION && framing.isChunked()) || head().equals(plainHead());
    }

    boolean isFlawless() {
        return head().equals(plainHead());
    }

    static byte[] encode(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String decode(final byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
