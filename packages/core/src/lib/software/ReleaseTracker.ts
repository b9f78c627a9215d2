/**
 * Recognises releases: the targets of one software version leave one after the other while others with newer software
 * serve. A text that is begun at a version that is being replaced may have to begin again when the last of them leaves.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { type Instant, type ServiceId, type SoftwareVersion, type TargetId } from "../ids.js";

/** Milliseconds after a target of a version has left for which the others are expected to follow. */
const releaseWindowMs = 8000;

interface ServiceRelease {
    /** When a target of each version last left. */
    readonly leftAt: Map<SoftwareVersion, Instant>;
    /** The software of the target that started last. */
    newest: SoftwareVersion | undefined;
}

/** Tracks the releases of all services. */
export class ReleaseTracker {
    private readonly services = new Map<ServiceId, ServiceRelease>();
    private entries: ReadonlyMap<TargetId, TargetEntryView> = new Map();

    /** Applies a change of the targets. */
    observe(targets: readonly TargetEntryView[], now: Instant): void {
        const next = new Map(targets.map(entry => [entry.target, entry]));
        const gone = [...this.entries.values()].filter(({ target }) => !next.has(target));
        for (const { service, software } of [...targets.filter(({ leaving }) => leaving), ...gone]) {
            if (software !== undefined) {
                this.releaseOf(service).leftAt.set(software, now);
            }
        }
        this.entries = next;
        for (const [service, release] of this.services) {
            const staying = targets.filter(entry => entry.service === service && !entry.leaving);
            release.newest = staying.reduce<TargetEntryView | undefined>(
                (best, entry) => best === undefined || entry.incarnation > best.incarnation ? entry : best,
                undefined,
            )?.software;
            release.leftAt.forEach((at, software) => now - at > releaseWindowMs && release.leftAt.delete(software));
        }
    }

    /** Whether the targets of `software` are being replaced by newer ones. */
    isBeingReplaced(service: ServiceId, software: SoftwareVersion | undefined, now: Instant): boolean {
        const release = this.services.get(service);
        const leftAt = software === undefined ? undefined : release?.leftAt.get(software);
        return leftAt !== undefined && now - leftAt <= releaseWindowMs && release!.newest !== undefined
            && release!.newest !== software;
    }

    private releaseOf(service: ServiceId): ServiceRelease {
        const known = this.services.get(service) ?? { leftAt: new Map(), newest: undefined };
        this.services.set(service, known);
        return known;
    }
}
