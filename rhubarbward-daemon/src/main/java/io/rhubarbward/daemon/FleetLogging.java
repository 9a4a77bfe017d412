package io.rhubarbward.daemon;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback for a router on the users' platform: log lines, which are whole JSON objects,
 * go to standard output unchanged.
 *
 * <p>Applies if the system property {@link #PROPERTY} is {@code fleet}. It is in code, since
 * reading an XML file takes a quarter of a router's start.
 */
public final class FleetLogging extends ContextAwareBase implements Configurator {
    /** System property that selects this configuration; {@code logback.xml} applies otherwise. */
    static final String PROPERTY = "rhubarbward.logs";

    private static final String FLEET_VALUE = "fleet";

    /**
     * Capacity of the queue in front of standard output: ten seconds at a router's highest rate.
     */
    private static final int QUEUE_CAPACITY_LINES = 4096;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!FLEET_VALUE.equals(System.getProperty(PROPERTY))) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        context.getLogger("rhubarbward").setLevel(Level.INFO);
        root.addAppender(nonBlocking(context, standardOutput(context)));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /**
     * Queues lines, so that a stalled reader of standard output cannot block the router. As the
     * queue fills up, lines below WARN are dropped first.
     */
    private static AsyncAppender nonBlocking(
            LoggerContext context, ConsoleAppender<ILoggingEvent> output) {
        AsyncAppender appender = new AsyncAppender();
        appender.setContext(context);
        appender.setName("unblocked");
        appender.setQueueSize(QUEUE_CAPACITY_LINES);
        appender.setNeverBlock(true);
        appender.addAppender(output);
        appender.start();
        return appender;
    }

    private static ConsoleAppender<ILoggingEvent> standardOutput(LoggerContext context) {
        MessageOnlyLayout layout = new MessageOnlyLayout();
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("standard-output");
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    /** Writes only the message, which is a whole JSON object. */
    private static final class MessageOnlyLayout extends LayoutBase<ILoggingEvent> {
        @Override
        public String doLayout(ILoggingEvent event) {
            return event.getFormattedMessage() + System.lineSeparator();
        }
    }
}
