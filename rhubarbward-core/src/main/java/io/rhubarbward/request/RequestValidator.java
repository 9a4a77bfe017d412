package io.rhubarbward.request;

import io.rhubarbward.admission.Admission;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Authenticates and validates a request, and resolves its service and chat. */
final class RequestValidator {
    static final String CHAT_HEADER = "x-chat-id";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String BEARER_PREFIX = "Bearer ";

    private final Admission mAdmission;

    RequestValidator(Admission admission) {
        mAdmission = admission;
    }

    Either<Refusal, AcceptedRequest> validate(CallerRequest request, Settings settings) {
        return authenticate(request)
                .flatMap(account -> checkIdempotencyKey(request).map(key -> account))
                .flatMap(account -> resolve(request, settings, account));
    }

    private static Either<Refusal, List<String>> checkIdempotencyKey(CallerRequest request) {
        List<String> keys =
                request.headers().fields().stream()
                        .filter(
                                field ->
                                        field.name()
                                                .equalsIgnoreCase(
                                                        ExchangeClaim.IDEMPOTENCY_KEY_HEADER))
                        .map(HeaderField::value)
                        .toList();
        boolean valid =
                keys.size() <= 1
                        && keys.stream()
                                .allMatch(
                                        key ->
                                                !key.isBlank()
                                                        && key.length()
                                                                <= MAX_IDEMPOTENCY_KEY_LENGTH);
        return valid
                ? Either.right(keys)
                : refuse(
                        RefusalCode.INVALID_KEY,
                        "expected one Idempotency-Key of 1 to "
                                + MAX_IDEMPOTENCY_KEY_LENGTH
                                + " characters");
    }

    private Either<Refusal, ClientAccount> authenticate(CallerRequest request) {
        return request.headers()
                .first("authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .flatMap(
                        value ->
                                mAdmission.account(value.substring(BEARER_PREFIX.length()).strip()))
                .<Either<Refusal, ClientAccount>>map(Either::right)
                .orElseGet(
                        () ->
                                refuse(
                                        RefusalCode.UNAUTHENTICATED,
                                        "expected \"Authorization: Bearer KEY\" with a known key"));
    }

    private Either<Refusal, AcceptedRequest> resolve(
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
        return resolveChat(request, services)
                .map(
                        target ->
                                new AcceptedRequest(
                                        request,
                                        account,
                                        target.service(),
                                        target.chat(),
                                        settings));
    }

    private static Either<Refusal, Target> resolveChat(
            CallerRequest request, List<Service> services) {
        if (!request.method().equals("POST")) {
            return refuse(RefusalCode.METHOD_NOT_ALLOWED, request.method() + ": expected POST");
        }
        return ChatRequestFields.parse(request.body())
                .flatMap(
                        fields ->
                                selectService(services, fields)
                                        .map(service -> newTarget(request, service, fields)));
    }

    private static Target newTarget(
            CallerRequest request, Service service, ChatRequestFields fields) {
        return new Target(service, request.headers().first(CHAT_HEADER).or(() -> fields.chat()));
    }

    private static Either<Refusal, Service> selectService(
            List<Service> services, ChatRequestFields fields) {
        if (fields.model().isEmpty() && services.size() == 1) {
            return Either.right(services.get(0));
        }
        String model = fields.model().orElse("");
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
                                                + modelNames(services)));
    }

    private static List<String> modelNames(List<Service> services) {
        return services.stream().map(Service::model).sorted().toList();
    }

    private static <T> Either<Refusal, T> refuse(RefusalCode code, String detail) {
        return Either.left(Refusal.of(code, detail));
    }

    /** The service and chat that a request is for. */
    private record Target(Service service, Optional<String> chat) {}
}
