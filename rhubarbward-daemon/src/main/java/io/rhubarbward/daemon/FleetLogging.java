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
 * Sends the lines of a router of the fleet to standard output as they are.
 *
 * <p>Applies where the system property {@link #PROPERTY} is {@code fleet}. Configured in code, as
 * reading an XML file takes a quarter of a router's start.
 */
public final class FleetLogging extends ContextAwareBase implements Configurator {
    /** Names the form of the logs; any other value leaves them to {@code logback.xml}. */
    static final String PROPERTY = "rhubarbward.logs";

    private static final String FLEET = "fleet";

    /** Lines that may wait for standard output: ten seconds of the most that a router writes. */
    private static final int WAITING_LINES = 4096;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!FLEET.equals(System.getProperty(PROPERTY))) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        context.getLogger("rhubarbward").setLevel(Level.INFO);
        root.addAppender(unblocked(context, standardOutput(context)));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** A reader that stops must not stop the router; lines below a warning are dropped first. */
    private static AsyncAppender unblocked(
            LoggerContext context, ConsoleAppender<ILoggingEvent> output) {
        AsyncAppender appender = new AsyncAppender();
        appender.setContext(context);
        appender.setName("unblocked");
        appender.setQueueSize(WAITING_LINES);
        appender.setNeverBlock(true);
        appender.addAppender(output);
        appender.start();
        return appender;
    }

    private static ConsoleAppender<ILoggingEvent> standardOutput(LoggerContext context) {
        LineLayout layout = new LineLayout();
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

    /** Writes the message alone: it is a whole JSON object already. */
    private static final class LineLayout extends LayoutBase<ILoggingEvent> {
        @Override
        public String doLayout(ILoggingEvent event) {
            return event.getFormattedMessage() + System.lineSeparator();
        }
    }
}
