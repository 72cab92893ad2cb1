import java.io.IOException;
import java.nio.file.Path;

/**
 * A case of the review: exits with 1 if the rule was broken, 0 if it held and 2 if the case could
 * not run. With the environment variable {@code TROUBLE=0} it leaves the disruption out.
 */
interface Case {
    int HELD = 0;
    int BROKEN = 1;
    int CANNOT_RUN = 2;

    /** Runs the case and returns {@link #HELD} or {@link #BROKEN}; throws if it cannot run. */
    int run(Recorder recorder, boolean trouble) throws Exception;

    /** Runs a case whose record goes into the folder that the arguments name, and exits. */
    static void exit(String[] args, Case reviewed) {
        int result = CANNOT_RUN;
        try (Recorder recorder = new Recorder(Path.of(args[0], "record.txt"))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            recorder.add(trouble ? "with the disruption" : "without the disruption");
            try {
                result = reviewed.run(recorder, trouble);
            } catch (Exception e) {
                recorder.add("cannot run: " + e);
            }
            recorder.add("result " + result);
        } catch (IOException e) {
            System.err.println("cannot write the record: " + e);
        }
        System.exit(result);
    }
}
