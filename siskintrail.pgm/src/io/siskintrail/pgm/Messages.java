package io.siskintrail.pgm;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.Optional;
import java.util.ResourceBundle;

/** Gives the texts that a person reads. */
final class Messages {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("io.siskintrail.pgm.messages", Locale.ROOT);

    private Messages() {}

    /** Returns the text of {@code key} with {@code args} filled in. */
    static String text(String key, Object... args) {
        Object[] plain = new Object[args.length];
        for (int i = 0; i < args.length; i++) {
            plain[i] = String.valueOf(args[i]);
        }
        return new MessageFormat(BUNDLE.getString(key), Locale.ROOT).format(plain);
    }

    /** Returns what to do about a result code, when there is more to say than its detail. */
    static Optional<String> hint(int code) {
        String key = "hint." + code;
        return BUNDLE.containsKey(key) ? Optional.of(text(key)) : Optional.empty();
    }
}
