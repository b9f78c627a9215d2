/** Sums for each target how long its streams were open and how many tokens were received, between two readings. */

import { type Instant, type TargetId } from "../ids.js";
import { type StreamProgress } from "./SpeedTracker.js";

interface Meter {
    open: number;
    streamMs: number;
    tokens: number;
    /** Until when the open time is included in `streamMs`. */
    changedAt: Instant;
}

/** Meters the streams of one pool. */
export class StreamMeter {
    private readonly meters = new Map<TargetId, Meter>();

    opened(target: TargetId, now: Instant): void {
        const meter = this.meters.get(target) ?? { open: 0, streamMs: 0, tokens: 0, changedAt: now };
        this.meters.set(target, meter);
        settle(meter, now);
        meter.open++;
    }

    closed(target: TargetId, now: Instant): void {
        const meter = this.meters.get(target);
        if (meter !== undefined) {
            settle(meter, now);
            meter.open--;
        }
    }

    recordTokens(target: TargetId, tokens: number): void {
        const meter = this.meters.get(target);
        if (meter !== undefined) {
            meter.tokens += tokens;
        }
    }

    /** Returns the progress since the last reading, and resets the sums. */
    read(now: Instant): readonly StreamProgress[] {
        const readings: StreamProgress[] = [];
        for (const [target, meter] of this.meters) {
            settle(meter, now);
            readings.push({ target, streamMs: meter.streamMs, tokens: meter.tokens });
            meter.streamMs = 0;
            meter.tokens = 0;
            if (meter.open === 0) {
                this.meters.delete(target);
            }
        }
        return readings;
    }
}

function settle(meter: Meter, now: Instant): void {
    meter.streamMs += meter.open * (now - meter.changedAt);
    meter.changedAt = now;
}
