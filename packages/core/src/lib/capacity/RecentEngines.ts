/**
 * The engines that were listed a short time ago. The load: engines restart under their ids and are not listed meanwhile. The
 * platform still counts them, so they take room in their zone, and an order by the listed engines would take one more away.
 */

import { type TargetEntryView } from "../directory/TargetDirectory.js";
import { after, type Instant, type ServiceId, type TargetId, type ZoneId } from "../ids.js";
import { type CapacityKind } from "./Scaling.js";

interface RecentEngine {
    readonly service: ServiceId;
    readonly zone: ZoneId;
    readonly kind: CapacityKind;
    /** Whether it had announced to leave when it was listed last. */
    readonly leaving: boolean;
    /** From when on it has not been listed; undefined while it is. */
    readonly missingSince: Instant | undefined;
}

/** Keeps the engines of the list, and those that are missing from it. */
export class RecentEngines {
    private engines: ReadonlyMap<TargetId, RecentEngine> = new Map();

    /** Records the list at `now`; an engine that is missing is forgotten after `restartMs`. */
    record(targets: readonly TargetEntryView[], restartMs: number, now: Instant): void {
        const listed = new Map(targets.map(entry => {
            const { target, service, zone, leaving } = entry;
            return [target, { service, zone, kind: kindOf(entry), leaving, missingSince: undefined }] as const;
        }));
        const missing = [...this.engines]
            .filter(([target, { leaving }]) => !leaving && !listed.has(target))
            .map(([target, engine]) => [target, { ...engine, missingSince: engine.missingSince ?? now }] as const)
            .filter(([, { missingSince }]) => now < after(missingSince, restartMs));
        this.engines = new Map<TargetId, RecentEngine>([...listed, ...missing]);
    }

    /** Number of engines of a zone and kind that are missing from the list without a notice that they leave. */
    missing(service: ServiceId, zone: ZoneId, kind: CapacityKind): number {
        return [...this.engines.values()].filter(each =>
            each.missingSince !== undefined && each.service === service && each.zone === zone && each.kind === kind
        ).length;
    }
}

/** Kind of a listed engine. */
export function kindOf({ isReclaimable }: TargetEntryView): CapacityKind {
    return isReclaimable === true ? "reclaimable" : "standing";
}
