package io.siskintrail.internal.traffic.crash;

import io.siskintrail.internal.traffic.crash.CrashSignature.OfContent;
import io.siskintrail.internal.traffic.crash.CrashSignature.OfParts;
import io.siskintrail.internal.traffic.placement.PromptPart;
import java.util.BitSet;
import java.util.stream.Collectors;

/**
 * A signature that could explain crashes.
 *
 * @param signature the signature
 * @param holders the crashes that have a suspect with the signature, by index
 */
record CrashCandidate(CrashSignature signature, BitSet holders) {

    boolean isOfParts() {
        return signature instanceof OfParts;
    }

    /** Returns the number of parts; 0 for a content. */
    int size() {
        return signature instanceof OfParts p ? p.parts().size() : 0;
    }

    /** Returns a text by which all hosts order candidates alike. */
    String order() {
        if (signature instanceof OfContent c) {
            return c.content().high() + "-" + c.content().low();
        }
        return ((OfParts) signature)
                .parts().stream().map(PromptPart::value).sorted().collect(Collectors.joining("\n"));
    }
}
