package brookpath.testing;

import java.util.List;
import org.testng.IAlterSuiteListener;
import org.testng.xml.XmlSuite;

/** Limits parallel tests, and the rows of parallel data providers, to half of the machine's cores. */
public final class TestThreads implements IAlterSuiteListener {
    /** One thread for every two cores, at least one. */
    static final int COUNT = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

    @Override
    public void alter(final List<XmlSuite> suites) {
        for (final XmlSuite suite : suites) {
            suite.setThreadCount(COUNT);
            suite.setDataProviderThreadCount(COUNT);
        }
    }
}
