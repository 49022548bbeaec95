package hopdrum.frontdoor;

import static org.assertj.core.api.Assertions.assertThat;

import hopdrum.host.CustomerOwner;
import hopdrum.host.ShardOwnership;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that are forwarded to a partner's front door, and requests that a partner has forwarded. */
@Timeout(20)
class PartnerFrontDoorTest extends FrontDoorFixture {
    /** Makes a partner with these front doors own all customers. A request that it forwarded has no known owner. */
    private void setPartners(StandIn... partners) throws Exception {
        CompletableFuture<Void> updated = new CompletableFuture<>();
        loop.execute(() -> {
            frontDoor.setShardOwnershipSupplier(() -> new ShardOwnership() {
                @Override
                public CustomerOwner owner(long customer, boolean forwardedByPartner, long nowUs) {
                    return forwardedByPartner ? CustomerOwner.unknown(200_000) : CustomerOwner.partner(1);
                }

                @Override
                public long ownershipAgeUs(long customer, long nowUs) {
                    return 0;
                }
            });
            List<ShardOwnership.PartnerEndpoint> endpoints = new ArrayList<>();
            for (StandIn partner : partners) {
                endpoints.add(new ShardOwnership.PartnerEndpoint("door/" + partner.address(), "z", partner.address()));
            }
            frontDoor.updatePartnerEndpoints(1, endpoints);
            updated.complete(null);
        });
        updated.get(10, TimeUnit.SECONDS);
    }

    @Test
    void aRequestOfAPartnersCustomerIsForwardedWithAMarkAndAnyResponseIsReturned() throws Exception {
        start();
        StandIn partner = new StandIn(request -> switch (field(request, "X-Trace-Id")) {
            case "t1" -> okResponse("theirs");
            case "t2" -> "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n";
            case "t3" -> "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            default -> "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        });
        setPartners(partner);
        assertThat(exchange(request("t1", "order", "")))
                .startsWith("HTTP/1.1 200 ")
                .endsWith("theirs");
        String forwarded = partner.nextRequest();
        assertThat(field(forwarded, "X-Passed-On")).isEqualTo("1");
        assertThat(Long.parseLong(field(forwarded, "X-Expires-In-Ms")))
                .as("the client's time, not this front door's attempt timeout")
                .isBetween(3_500L, 4_000L);
        assertThat(exchange(request("t2", "order", "")))
                .startsWith("HTTP/1.1 429 ")
                .contains("Retry-After: 0.250");
        assertThat(exchange(request("t3", "order", ""))).startsWith("HTTP/1.1 503 ");
        assertThat(exchange(request("t4", "order", ""))).startsWith("HTTP/1.1 500 ");
        assertThat(counter.requests).isEmpty();
        assertThat(backend.requests).isEmpty();
    }

    @Test
    void aRequestForwardedByAPartnerIsNotForwardedAgain() throws Exception {
        start();
        StandIn partner = new StandIn(request -> okResponse("never"));
        setPartners(partner);
        assertThat(exchange(request("t1", "order", "X-Passed-On: 1\r\n")))
                .startsWith("HTTP/1.1 429 ")
                .contains("Retry-After: 0.200");
        assertThat(partner.requests).isEmpty();
    }

    @Test
    void aWithdrawnPartnerFrontDoorGetsNoNewRequestsAndDiscoverysListLeavesOtherPartnersInPlace() throws Exception {
        start();
        StandIn first = new StandIn(request -> okResponse("first"));
        StandIn second = new StandIn(request -> okResponse("second"));
        setPartners(first);
        assertThat(exchange(request("t1", "order", ""))).endsWith("first");
        setPartners(second);
        discovery.send(chunk(
                "{\"seq\":42,\"whole\":true,\"hosts\":[" + hostJson("b", backend.address(), "in_service") + "]}\n"));
        assertThat(exchange(request("t2", "order", ""))).endsWith("second");
        assertThat(exchange(request("t3", "order", ""))).endsWith("second");
        assertThat(first.requests).hasSize(1);
    }

    @Test
    void aRequestWhosePartnerClosesTheConnectionIsNotRetried() throws Exception {
        start();
        StandIn partner = new StandIn(request -> null);
        setPartners(partner);
        assertThat(exchange(request("t1", "order", ""))).startsWith("HTTP/1.1 500 ");
        assertThat(partner.requests).hasSize(1);
    }
}
