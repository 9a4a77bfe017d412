/** All routers are killed after they have found the part, and start again. */
final class PoisonedRestart extends PoisonedPart {
    private static final int ROUTERS = 3;
    private static final int ENGINES = 18;
    private static final int BURSTS = 5;
    private static final int BURST_REQUESTS = 8;
    private static final int PERIOD_MILLIS = 1500;
    private static final int SOUND_PER_SECOND = 40;

    @Override
    boolean run(Fleet fleet) {
        addEngines(fleet, ENGINES, engine());
        fleet.startRouters(ROUTERS);
        startSoundTraffic(fleet, SOUND_PER_SECOND);
        Threads.sleep(CONTACT_MILLIS + 1000);
        sendBursts(fleet);
        if (crashes() < 5) {
            throw new IllegalStateException("crashes: " + crashes() + ", expected five");
        }
        Threads.sleep(CONTACT_MILLIS);
        if (trouble()) {
            fleet.record.add("all routers are killed");
            fleet.routers.forEach(Router::kill);
            Threads.sleep(500);
            fleet.record.add("all routers start again");
            fleet.routers.forEach(Router::start);
            fleet.awaitReady();
        }
        Threads.sleep(CONTACT_MILLIS + 1000);
        sendBursts(fleet);
        stopSoundTraffic();
        return judge(fleet);
    }

    private void sendBursts(Fleet fleet) {
        for (int i = 0; i < BURSTS; i++) {
            long next = Record.now() + PERIOD_MILLIS;
            sendPoisoned(fleet, fleet.routers.get(i % ROUTERS), BURST_REQUESTS);
            Threads.sleepUntil(next);
        }
    }

    public static void main(String[] arguments) {
        main(new PoisonedRestart(), arguments);
    }
}
