package brookpath.testing;

import java.util.List;
import org.testng.IAlterSuiteListener;
import org.testng.xml.XmlSuite;

/** Lets tests that run in parallel, and the rows of parallel data providers, use half of the machine's cores. */
public final class TestThreads implements IAlterSuiteListener {
    /** As many threads as half of the cores. */
    static final int COUNT = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

    @Override
    public void alter(final List<XmlSuite> suites) {
        for (final XmlSuite suite : suites) {
            suite.setThreadCount(COUNT);
            suite.setDataProviderThreadCount(COUNT);
        }
    }
}
