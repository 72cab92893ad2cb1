package io.siskintrail.edge.internal;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.siskintrail.net.EventLoop;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to an endpoint on a link that loses packets. */
@Timeout(60)
class EndpointDialTest {
    private static final int TIMEOUT_MILLIS = 10_000;

    private final EventLoop loop = new EventLoop("dial-test");
    private final List<ChannelPromise> opened = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Channel> result = new CompletableFuture<>();
    private final CompletableFuture<Void> secondOpened = new CompletableFuture<>();

    @AfterEach
    void stop() {
        loop.stop();
    }

    /** Guards against an endpoint that counts as unreachable because one SYN packet was lost. */
    @Test
    void lostSynIsMadeUpForBySecondConnection() throws Exception {
        dial(true);
        secondOpened.get();
        loop.call(() -> opened.get(1).setSuccess());

        assertThat(result.get()).isSameInstanceAs(opened.get(1).channel());
        assertThat(opened.get(0).channel().isOpen()).isFalse();
    }

    /** Guards against a connection that stays open without an owner. */
    @Test
    void connectionThatOpensLastIsClosed() throws Exception {
        dial(true);
        secondOpened.get();
        loop.call(() -> opened.get(0).setSuccess());

        assertThat(result.get()).isSameInstanceAs(opened.get(0).channel());
        assertThat(opened.get(1).channel().isOpen()).isFalse();
    }

    @Test
    void refusedConnectionFailsAtOnce() throws Exception {
        dial(true);
        loop.call(() -> opened.get(0).setFailure(new ConnectException()));

        assertThat(result.get()).isNull();
        assertThat(opened).hasSize(1);
    }

    @Test
    void connectionThatIsNoLongerWantedIsNotOpenedAgain() throws Exception {
        dial(false);
        TimeUnit.MILLISECONDS.sleep(3 * EndpointDial.SECOND_DIAL_MILLIS);

        assertThat(opened).hasSize(1);
    }

    /** Guards against a probe by each stream that waits for a silent endpoint. */
    @Test
    void probesAtTheSameTimeShareOneConnection() throws Exception {
        EndpointPool pool = new EndpointPool(loop, null);
        List<Boolean> results = new CopyOnWriteArrayList<>();
        CompletableFuture<Void> done = new CompletableFuture<>();
        try (ServerSocket endpoint = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            String address = "127.0.0.1:" + endpoint.getLocalPort();
            loop.call(
                    () -> {
                        pool.probe(address, results::add);
                        pool.probe(
                                address,
                                reached -> {
                                    results.add(reached);
                                    done.complete(null);
                                });
                    });
            done.get();
        }

        assertThat(results).containsExactly(true, true);
        assertThat(pool.openedProbes()).isEqualTo(1);
    }

    private void dial(boolean isWanted) {
        loop.call(
                () ->
                        new EndpointDial(
                                        loop,
                                        TIMEOUT_MILLIS,
                                        millis -> open(),
                                        () -> isWanted,
                                        (channel, cause) -> result.complete(channel))
                                .start());
    }

    private ChannelFuture open() {
        opened.add(
                new DefaultChannelPromise(new EmbeddedChannel(), ImmediateEventExecutor.INSTANCE));
        if (opened.size() == 2) {
            secondOpened.complete(null);
        }
        return opened.get(opened.size() - 1);
    }
}
