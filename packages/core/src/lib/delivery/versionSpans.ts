/** Checks the weight versions that an engine reports for a sample. */

import { type WeightVersion } from "../ids.js";
import { type VersionSpan } from "../ports/Targets.js";
import { type Sample } from "./StepSpec.js";

/** Returns the oldest version that contributed to a sample. */
export function oldestVersion(spans: readonly VersionSpan[]): WeightVersion {
    return Math.min(...spans.map(span => span.version)) as WeightVersion;
}

/** Returns whether the spans cover the whole sample with versions in ascending order, as one engine generates it. */
export function areSpansConsistent({ spans, tokens }: Pick<Sample, "spans" | "tokens">): boolean {
    const covered = spans.reduce((sum, span) => sum + span.tokens, 0);
    const isRising = spans.every((span, nth) => span.tokens > 0 && span.version > (spans[nth - 1]?.version ?? -1));
    return spans.length > 0 && isRising && covered === tokens;
}
