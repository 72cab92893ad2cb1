package io.siskintrail.edge.internal;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the progress of an attempt at an endpoint, on the event loop. After a method that ends
 * the attempt, no other method is called.
 */
interface AttemptListener {

    /** Called when no connection could be opened and nothing was sent. Ends the attempt. */
    void onConnectFailure(String cause);

    /** Called with the response head. */
    void onHead(HttpResponse response);

    /** Called with the next bytes of the response body. */
    void onBody(byte[] bytes);

    /** Called when the response is complete. Ends the attempt. */
    void onComplete();

    /** Called when the response cannot be completed. Ends the attempt. */
    void onFailure(String cause);
}
