package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;

/** Learns how an attempt at an endpoint goes, on the event loop. Nothing comes after an end. */
interface AttemptListener {

    /** Takes note that no connection could be had: nothing was sent. Ends the attempt. */
    void notConnected(String cause);

    /** Takes the head of the answer. */
    void head(HttpResponse response);

    /** Takes the next bytes of the body. */
    void body(byte[] bytes);

    /** Takes note that the answer is whole. Ends the attempt. */
    void complete();

    /** Takes note that the answer will not be whole. Ends the attempt. */
    void broken(String cause);
}
