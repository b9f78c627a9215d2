/** Parses durations as they are written in a questionnaire, such as "2 s", "40 min" or "1.5 h". */

import * as z from "zod";

const msPerUnit: Readonly<Record<string, number>> = { ms: 1, s: 1000, min: 60_000, h: 3_600_000, d: 86_400_000 };
const durationPattern = /^(\d+(?:\.\d+)?)\s*(ms|s|min|h|d)$/;

/** Schema of a duration; its output is in milliseconds. */
export const durationSchema = z.string("a length of time, such as \"2 s\" or \"40 min\"")
    .regex(durationPattern, "a length of time, such as \"2 s\" or \"40 min\"")
    .transform(text => {
        const [, count, unit] = durationPattern.exec(text)!;
        return Math.round(Number(count) * msPerUnit[unit!]!);
    })
    .refine(ms => ms >= 1, "a length of time above 0");
