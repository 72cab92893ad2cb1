/** Says that a case could not be run, so that it shows nothing. */
final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
        super(message);
    }
}
