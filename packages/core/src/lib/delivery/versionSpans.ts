/** Judges what an engine said about the weight versions that produced a sample. */

import { type WeightVersion } from "../ids.js";
import { type VersionSpan } from "../ports/Targets.js";
import { type Sample } from "./StepSpec.js";

/** The oldest version that contributed to a sample. */
export function oldestVersion(spans: readonly VersionSpan[]): WeightVersion {
    return Math.min(...spans.map(span => span.version)) as WeightVersion;
}

/** Tells whether the spans cover the whole sample and name versions in rising order, as one engine produces them. */
export function areSpansConsistent({ spans, tokens }: Pick<Sample, "spans" | "tokens">): boolean {
    const covered = spans.reduce((sum, span) => sum + span.tokens, 0);
    const isRising = spans.every((span, nth) => span.tokens > 0 && span.version > (spans[nth - 1]?.version ?? -1));
    return spans.length > 0 && isRising && covered === tokens;
}
