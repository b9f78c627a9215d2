/** The measures of one run, and their median and range over seeds. */

import { build, type Histogram } from "hdr-histogram-js";

/** Measures of one run of one policy, by name; undefined where a run has no value. */
export type Measures = Readonly<Record<string, number | undefined>>;

/** Median and range of a measure over several seeds. */
export interface Spread {
    readonly median: number;
    readonly lowest: number;
    readonly highest: number;
}

const microsecondsPerMs = 1000;

/** A histogram of times in milliseconds, recorded in whole microseconds; covers up to one hour. */
export class LatencyHistogram {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
    });

    record(ms: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs)));
    }

    get count(): number {
        return this.histogram.totalCount;
    }

    /** The time in milliseconds at `percentile`, from 0 to 100; undefined while the histogram is empty. */
    percentile(percentile: number): number | undefined {
        return this.count === 0 ? undefined : this.histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
    }
}

/** The median and range of each measure over the runs that have a value for it. */
export function spreadOf(runs: readonly Measures[]): Readonly<Record<string, Spread>> {
    const names = new Set(runs.flatMap(run => Object.keys(run)));
    const spreads: Record<string, Spread> = {};
    for (const name of names) {
        const values = runs.flatMap(run => run[name] ?? []).sort((a, b) => a - b);
        if (values.length > 0) {
            spreads[name] = {
                median: values[values.length >> 1]!,
                lowest: values[0]!,
                highest: values.at(-1)!,
            };
        }
    }
    return spreads;
}

/** The quotient; undefined when an operand is undefined or `whole` is 0. */
export function ratio(part: number | undefined, whole: number | undefined): number | undefined {
    return part === undefined || whole === undefined || whole === 0 ? undefined : part / whole;
}
