/** Builders of request permits for the tests of this folder. */

import { createMonotonicClock } from "@tamarackpath/adapters";
import { asId, type Clock, type PeerNetwork, type ZoneId } from "@tamarackpath/core";
import Emittery from "emittery";
import { type ConductorEvents, type ConductorTask } from "./ConductorTask.js";
import { CrashGuard } from "./CrashGuard.js";
import { noopJournal } from "./Journal.js";
import { RequestPermits } from "./RequestPermits.js";
import { defaultRolloutSettings } from "./RolloutSettings.js";
import { type ViewTaskOptions } from "./ViewTask.js";

/** The guard of a host that conducts. */
export function crashGuardFixture(
    peers: PeerNetwork = { handle: () => undefined } as unknown as PeerNetwork,
    clock: Clock = createMonotonicClock(),
): CrashGuard {
    const events = new Emittery<ConductorEvents>();
    return new CrashGuard({ conductor: undefined, isSure: true, events }, peers, clock, noopJournal);
}

/** The permits of a host that conducts, unless `isSure` says otherwise. */
export function permitsFixture(
    peers: PeerNetwork = { handle: () => undefined } as unknown as PeerNetwork,
    clock: Clock = createMonotonicClock(),
    isSure: () => boolean = () => true,
): RequestPermits {
    const conductor: Pick<ConductorTask, "conductor" | "isSure" | "events"> = {
        conductor: undefined,
        get isSure() {
            return isSure();
        },
        events: new Emittery<ConductorEvents>(),
    };
    return new RequestPermits(conductor, peers, clock, noopJournal);
}

/** Options of the view task of a host that has callers, reaches targets and knows no seeds, with changes. */
export function viewOptionsFixture(changes: Partial<ViewTaskOptions> = {}): ViewTaskOptions {
    return {
        settings: defaultRolloutSettings,
        seeds: [],
        zone: asId<ZoneId>("z"),
        hasCallers: true,
        reachesTargets: () => true,
        relaysFor: () => [],
        onRelays: () => undefined,
        ...changes,
    };
}
