package io.rhubarbward.request;

import io.rhubarbward.admission.Admission;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Checks what a request says: who sends it, and which service and chat it is for. */
final class RequestGate {
    static final String CHAT_HEADER = "x-chat-id";
    private static final int MAX_KEY_LENGTH = 255;
    private static final String BEARER = "Bearer ";

    private final Admission mAdmission;

    RequestGate(Admission admission) {
        mAdmission = admission;
    }

    Either<Refusal, AcceptedRequest> check(CallerRequest request, Settings settings) {
        return account(request)
                .flatMap(account -> checkKey(request).map(key -> account))
                .flatMap(account -> checkTarget(request, settings, account));
    }

    private static Either<Refusal, List<String>> checkKey(CallerRequest request) {
        List<String> keys =
                request.headers().fields().stream()
                        .filter(field -> field.name().equalsIgnoreCase(ExchangeClaim.KEY_HEADER))
                        .map(HeaderField::value)
                        .toList();
        boolean usable =
                keys.size() <= 1
                        && keys.stream()
                                .allMatch(key -> !key.isBlank() && key.length() <= MAX_KEY_LENGTH);
        return usable
                ? Either.right(keys)
                : refuse(
                        RefusalCode.INVALID_KEY,
                        "expected one Idempotency-Key of 1 to " + MAX_KEY_LENGTH + " characters");
    }

    private Either<Refusal, ClientAccount> account(CallerRequest request) {
        return request.headers()
                .first("authorization")
                .filter(value -> value.startsWith(BEARER))
                .flatMap(value -> mAdmission.account(value.substring(BEARER.length()).strip()))
                .<Either<Refusal, ClientAccount>>map(Either::right)
                .orElseGet(
                        () ->
                                refuse(
                                        RefusalCode.UNAUTHENTICATED,
                                        "expected \"Authorization: Bearer KEY\" with a known key"));
    }

    private Either<Refusal, AcceptedRequest> checkTarget(
            CallerRequest request, Settings settings, ClientAccount account) {
        List<Service> services = settings.servicesFor(request.path());
        if (services.isEmpty()) {
            return refuse(RefusalCode.UNKNOWN_PATH, "no service serves " + request.path());
        }
        if (services.get(0).kind() == Service.Kind.PLAIN) {
            Optional<String> chat = request.headers().first(CHAT_HEADER);
            return Either.right(
                    new AcceptedRequest(request, account, services.get(0), chat, settings));
        }
        return checkChat(request, services)
                .map(
                        target ->
                                new AcceptedRequest(
                                        request,
                                        account,
                                        target.service(),
                                        target.chat(),
                                        settings));
    }

    private static Either<Refusal, Target> checkChat(
            CallerRequest request, List<Service> services) {
        if (!request.method().equals("POST")) {
            return refuse(RefusalCode.METHOD_NOT_ALLOWED, request.method() + ": expected POST");
        }
        return ChatEnvelope.parse(request.body())
                .flatMap(
                        envelope ->
                                service(services, envelope)
                                        .map(service -> target(request, service, envelope)));
    }

    private static Target target(CallerRequest request, Service service, ChatEnvelope envelope) {
        return new Target(service, request.headers().first(CHAT_HEADER).or(() -> envelope.chat()));
    }

    private static Either<Refusal, Service> service(List<Service> services, ChatEnvelope envelope) {
        if (envelope.model().isEmpty() && services.size() == 1) {
            return Either.right(services.get(0));
        }
        String model = envelope.model().orElse("");
        return services.stream()
                .filter(service -> service.model().equals(model))
                .findFirst()
                .<Either<Refusal, Service>>map(Either::right)
                .orElseGet(
                        () ->
                                refuse(
                                        RefusalCode.UNKNOWN_MODEL,
                                        "model \""
                                                + model
                                                + "\": expected one of "
                                                + models(services)));
    }

    private static List<String> models(List<Service> services) {
        return services.stream().map(Service::model).sorted().toList();
    }

    private static <T> Either<Refusal, T> refuse(RefusalCode code, String detail) {
        return Either.left(Refusal.of(code, detail));
    }

    /** The service and chat that a request is for. */
    private record Target(Service service, Optional<String> chat) {}
}
