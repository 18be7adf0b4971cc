package brookpath.programs.boot;

import com.codahale.metrics.MetricRegistry;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationFactoryFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.LoggingFactory;
import io.dropwizard.request.logging.RequestLogFactory;
import io.dropwizard.util.Duration;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.server.RequestLog;

/**
 * The HTTP server of a process: Dropwizard, configured from settings that are already read and checked. It logs only
 * through tinylog.
 */
final class HttpServer extends Application<Configuration> {
    private static final int MAX_THREADS = 128;
    private static final Duration SHUTDOWN_GRACE_PERIOD = Duration.seconds(1);

    private final String host;
    private final int port;
    private final Set<Object> resources;

    /** @param resources the JAX-RS resources to serve */
    HttpServer(final String host, final int port, final Set<Object> resources) {
        this.host = host;
        this.port = port;
        this.resources = resources;
    }

    @Override
    protected void bootstrapLogging() {
        // Dropwizard would set up logback here, but SLF4J is bound to tinylog.
    }

    @Override
    public void initialize(final Bootstrap<Configuration> bootstrap) {
        bootstrap.setConfigurationFactoryFactory(new FixedConfigurationFactory());
    }

    @Override
    public void run(final Configuration configuration, final Environment environment) {
        // With an output buffer, Jersey ignores flushes until it is full, which would delay the lines of a listener.
        environment.jersey().property(org.glassfish.jersey.server.ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        resources.forEach(environment.jersey()::register);
    }

    private Configuration configuration() {
        final HttpConnectorFactory http = new HttpConnectorFactory();
        http.setBindHost(host);
        http.setPort(port);
        final DefaultServerFactory server = new DefaultServerFactory();
        server.setApplicationConnectors(List.of(http));
        // An admin port would be another one to protect; the interface for operators is under /v1.
        server.setAdminConnectors(List.of());
        server.getGzipFilterFactory().setEnabled(false);
        server.setRequestLogFactory(new NoRequestLog());
        // The sessions have ended by then, and callers should go to another gateway without delay.
        server.setShutdownGracePeriod(SHUTDOWN_GRACE_PERIOD);
        server.setMaxThreads(MAX_THREADS);
        server.setDetailedJsonProcessingExceptionMapper(false);
        final Configuration configuration = new Configuration();
        configuration.setServerFactory(server);
        configuration.setLoggingFactory(new NoLogging());
        return configuration;
    }

    private final class FixedConfigurationFactory implements ConfigurationFactoryFactory<Configuration> {
        @Override
        public ConfigurationFactory<Configuration> create(
                final Class<Configuration> type,
                final jakarta.validation.Validator validator,
                final com.fasterxml.jackson.databind.ObjectMapper mapper,
                final String prefix) {
            return new ConfigurationFactory<>() {
                @Override
                public Configuration build(final ConfigurationSourceProvider provider, final String path) {
                    return configuration();
                }

                @Override
                public Configuration build() {
                    return configuration();
                }
            };
        }
    }

    private static final class NoLogging implements LoggingFactory {
        @Override
        public void configure(final MetricRegistry registry, final String name) {
            // tinylog.properties configures all logging.
        }

        @Override
        public void stop() {
            // Dropwizard has no logging to stop.
        }

        @Override
        public void reset() {
            // Dropwizard has no logging to reset.
        }
    }

    private static final class NoRequestLog implements RequestLogFactory<RequestLog> {
        @Override
        public boolean isEnabled() {
            return false;
        }

        @Override
        public RequestLog build(final String name) {
            return null;
        }
    }
}
