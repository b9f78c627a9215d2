/**
 * Which software a target is known to run. An entry names the software of one incarnation, and an entry may be older than
 * a restart, after which the same id may stand for other software; a target may also restart several times between two
 * reads. So the software counts as unknown from the loss of a connection until the entry shows that it was written later:
 * reads that began after the loss differ in the incarnation, or in the heartbeats of the same one.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Incarnation, type Instant, type SoftwareVersion, type TargetId } from "../ids.js";

/** The loss of a connection to a target, and what the first read that began after it showed. */
interface ConnectionLoss {
    readonly at: Instant;
    /** The incarnation in that read; another one registered itself after the loss. */
    incarnation: Incarnation | undefined;
    /** Its heartbeats by then. Those counted beyond them were written after the loss. */
    heartbeats: number | undefined;
}

/**
 * Milliseconds after a loss from which an entry of the same incarnation shows without heartbeats that the target lives:
 * the entry of a lost target lapses after three heartbeats, and that of its successor is written at its start.
 */
const entryLapseMs = 10_000;

/** Tracks what is known of the software of targets. */
export class TargetSoftware {
    private readonly losses = new Map<TargetId, ConnectionLoss>();
    private incarnations = new Map<TargetId, Incarnation>();

    /** Number of targets whose software is in doubt. */
    get doubtfulTargets(): number {
        return this.losses.size;
    }

    /** Records that a connection to the target was lost, refused or silent. */
    recordConnectionLost({ target }: TargetEntryView, now: Instant): void {
        this.losses.set(target, { at: now, incarnation: undefined, heartbeats: undefined });
    }

    /** The software of the target, or undefined while it is unknown. */
    of({ target, software }: TargetEntryView): SoftwareVersion | undefined {
        return this.losses.has(target) ? undefined : software;
    }

    /** Records that the target named its incarnation in answer to a request that was sent at `askedAt`. */
    confirm({ target, incarnation: known }: TargetEntryView, incarnation: Incarnation, askedAt: Instant): void {
        const loss = this.losses.get(target);
        if (loss !== undefined && known === incarnation && askedAt > loss.at) {
            this.losses.delete(target);
        }
    }

    /**
     * Applies all entries as of a read that began at `readAt` or later, and returns those of targets that have restarted.
     * Where the read itself is not at hand, the entries have no heartbeats.
     */
    observe(entries: readonly TargetEntryView[], readAt: Instant): readonly TargetEntryView[] {
        const restarted = entries.filter(({ target, incarnation }) =>
            (this.incarnations.get(target) ?? incarnation) !== incarnation
        );
        this.incarnations = new Map(entries.map(({ target, incarnation }) => [target, incarnation]));
        for (const [target, loss] of this.losses) {
            const entry = entries.find(each => each.target === target);
            if (readAt > loss.at && (entry === undefined || isWrittenAfter(loss, entry, readAt))) {
                this.losses.delete(target);
            }
        }
        return restarted;
    }
}

/** Whether the entry was written after the loss; keeps what the first read after the loss shows. */
function isWrittenAfter(loss: ConnectionLoss, { incarnation, heartbeats }: TargetEntryView, readAt: Instant): boolean {
    loss.incarnation ??= incarnation;
    loss.heartbeats ??= heartbeats;
    const hasBeaten = heartbeats !== undefined && loss.heartbeats !== undefined && heartbeats > loss.heartbeats;
    return incarnation !== loss.incarnation || hasBeaten || readAt > after(loss.at, entryLapseMs);
}
