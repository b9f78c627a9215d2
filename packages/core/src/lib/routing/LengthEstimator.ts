/** Learns how long work of a class is, as quantiles over a histogram that forgets slowly. */

const bucketsPerDoubling = 4;
const bucketCount = 96;
const decayAfter = 512;
const fewestToJudge = 8;
const mostClasses = 4096;

interface Histogram {
    readonly buckets: Float64Array;
    total: number;
}

/** Keeps one histogram for each class; the class unused longest is forgotten first. */
export class LengthEstimator {
    private readonly classes = new Map<string, Histogram>();

    learn(name: string, tokens: number): void {
        const histogram = this.classes.get(name) ?? { buckets: new Float64Array(bucketCount), total: 0 };
        this.classes.delete(name);
        this.classes.set(name, histogram);
        if (this.classes.size > mostClasses) {
            this.classes.delete(this.classes.keys().next().value!);
        }
        histogram.buckets[bucketOf(tokens)]! += 1;
        histogram.total += 1;
        if (histogram.total >= decayAfter) {
            halve(histogram);
        }
    }

    /** The `quantile` of the class's lengths, or undefined while too few are known. */
    quantile(name: string, quantile: number): number | undefined {
        const histogram = this.classes.get(name);
        if (histogram === undefined || histogram.total < fewestToJudge) {
            return undefined;
        }
        let below = 0;
        for (let bucket = 0; bucket < bucketCount; bucket++) {
            below += histogram.buckets[bucket]!;
            if (below >= quantile * histogram.total) {
                return Math.pow(2, (bucket + 0.5) / bucketsPerDoubling);
            }
        }
        return undefined;
    }
}

function bucketOf(tokens: number): number {
    return Math.min(bucketCount - 1, Math.floor(bucketsPerDoubling * Math.log2(Math.max(1, tokens))));
}

function halve(histogram: Histogram): void {
    histogram.total = 0;
    histogram.buckets.forEach((count, bucket) => {
        histogram.buckets[bucket] = count / 2;
        histogram.total += count / 2;
    });
}
