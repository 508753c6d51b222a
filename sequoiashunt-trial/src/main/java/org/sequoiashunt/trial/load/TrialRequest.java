package org.sequoiashunt.trial.load;

import java.util.ArrayList;
import java.util.List;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.http.HttpRequest;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.trial.target.FakeTarget;

/**
 * One request of a trial caller. Immutable and thread-safe.
 *
 * @param name the caller's own name for it, unique.
 * @param service the service called.
 * @param reservation whether it must not run twice; it then carries its name as idempotency key.
 */
record TrialRequest(String name, String service, boolean reservation) {

    private static final Body RESERVATION = Body.of(new byte[] {'p', 'l', 'a', 't', 'e'});

    HttpRequest toHttp() {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(new HeaderField(CallHeaders.SERVICE, service));
        headers.add(new HeaderField(FakeTarget.REQUEST_NAME_HEADER, name));
        if (!reservation) {
            return new HttpRequest("GET", "/lookup/" + name, headers, Body.EMPTY, true);
        }
        headers.add(new HeaderField(CallHeaders.IDEMPOTENCY_KEY, name));
        return new HttpRequest("POST", "/reserve", headers, RESERVATION, true);
    }
}
