package brookpath.transport.wire;

import brookpath.transport.log.LogRing;
import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * A logger for Netty that adds warnings and errors to the log ring and drops anything below. It loads no logging
 * framework. Thread-safe.
 */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;

    NettyLogger(final String name) {
        super(name);
    }

    private void add(final FormattingTuple line) {
        add(line.getMessage(), line.getThrowable());
    }

    private void add(final String message, final Throwable cause) {
        LogRing.info(name() + ": " + message + (cause == null ? "" : ": " + cause));
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(final String message) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void trace(final String format, final Object argument) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void trace(final String format, final Object first, final Object second) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void trace(final String format, final Object... arguments) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void trace(final String message, final Throwable cause) {
        // Dropped: below the level that is logged.
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(final String message) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void debug(final String format, final Object argument) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void debug(final String format, final Object first, final Object second) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void debug(final String format, final Object... arguments) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void debug(final String message, final Throwable cause) {
        // Dropped: below the level that is logged.
    }

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(final String message) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void info(final String format, final Object argument) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void info(final String format, final Object first, final Object second) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void info(final String format, final Object... arguments) {
        // Dropped: below the level that is logged.
    }

    @Override
    public void info(final String message, final Throwable cause) {
        // Dropped: below the level that is logged.
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(final String message) {
        add(message, null);
    }

    @Override
    public void warn(final String format, final Object argument) {
        add(MessageFormatter.format(format, argument));
    }

    @Override
    public void warn(final String format, final Object first, final Object second) {
        add(MessageFormatter.format(format, first, second));
    }

    @Override
    public void warn(final String format, final Object... arguments) {
        add(MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void warn(final String message, final Throwable cause) {
        add(message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(final String message) {
        add(message, null);
    }

    @Override
    public void error(final String format, final Object argument) {
        add(MessageFormatter.format(format, argument));
    }

    @Override
    public void error(final String format, final Object first, final Object second) {
        add(MessageFormatter.format(format, first, second));
    }

    @Override
    public void error(final String format, final Object... arguments) {
        add(MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void error(final String message, final Throwable cause) {
        add(message, cause);
    }
}
