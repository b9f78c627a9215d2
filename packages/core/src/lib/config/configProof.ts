/**
 * Decides what proves that a host's configuration is current, and when a host has to find out itself. It answers the
 * revocation of a credential while hosts are cut off, paused, or follow a conductor that is cut off, at a cost in calls to the
 * store that does not grow with the number of hosts.
 *
 * A proof is an instant on the host's own clock. At that instant or later, the configuration in force was the newest one in the
 * store, so each proof is taken before the call or message that brings it is sent.
 */

import { after, type ConfigRevision, type Instant, type KeyRevision } from "../ids.js";
import { type ConductorView } from "../ports/PeerRequests.js";

/**
 * Milliseconds that one call of the watch of the operators' documents waits. It limits how long a change stays undetected when
 * the connection gets no answers. Where revocation is strict, the wait is shorter, as a watch proves only the time of its begin.
 */
const watchWaitMs = { strict: 1000, usual: 2000 } as const;

/** Share of the time for a revocation after which a host whose conductor does not answer reads the documents itself. */
const provenShareWithoutConductor = 0.5;

/**
 * The same while the conductor answers. It is above the usual age of a proof, since a conductor that passes on proofs costs no
 * own reads: a watch of 1 s proves its begin until the next one ends, the pull waits for 0.8 s, and its answer counts until the
 * next one, which makes 3.6 s. A conductor of earlier software tells no age, and one that is cut off an increasing one.
 */
const provenShareWithConductor = 0.8;

/** Milliseconds between the begins of a host's own reads of the operators' documents to prove its configuration. */
const proofReadIntervalMs = 1000;

/** Milliseconds that a watch of the operators' documents waits; `revocationMs` is undefined where revocation is not strict. */
export function configWatchWaitMs(revocationMs: number | undefined): number {
    return revocationMs === undefined ? watchWaitMs.usual : watchWaitMs.strict;
}

/** What a host has of a process of the conductor: the claim's fencing token, and the revision of the configuration. */
export interface PulledConfig {
    readonly fence: KeyRevision | undefined;
    readonly config: ConfigRevision | undefined;
}

/**
 * The revision of the configuration that an answer of the conductor is about. `offered` is what the pull named; an answer without
 * content is about that, if it comes from the same process. Undefined if it cannot be told.
 */
export function configOfAnswer(
    { fence, content }: Pick<ConductorView, "fence" | "content">,
    offered: PulledConfig | undefined,
): ConfigRevision | undefined {
    if (content !== undefined) {
        return content.operator.config?.revision;
    }
    return fence !== undefined && fence === offered?.fence ? offered.config : undefined;
}

/**
 * The proof that the answer to a pull gives for the configuration of revision `held`, or undefined if it gives none. The pull
 * was sent at `pulledAt`; the conductor's answer is about the configuration of revision `answered`, and states the age of its
 * proof at the time of the answer, which was not before the pull.
 */
export function provenByAnswer(
    pulledAt: Instant,
    proofAgeMs: number | undefined,
    answered: ConfigRevision | undefined,
    held: ConfigRevision | undefined,
): Instant | undefined {
    const isSame = answered !== undefined && answered === held;
    // An age below 0 would prove a time after the pull.
    return isSame && proofAgeMs !== undefined && proofAgeMs >= 0 ? after(pulledAt, -proofAgeMs) : undefined;
}

/** Inputs of `shouldProveConfig`. */
export interface ProofState {
    readonly now: Instant;
    readonly provenAt: Instant | undefined;
    /** Milliseconds within which a revoked credential must be refused. */
    readonly revocationMs: number;
    readonly hasConductorAnswered: boolean;
    /** When the host's last own read of the operators' documents began. */
    readonly lastReadAt: Instant;
}

/** Whether a host that does not conduct reads the operators' documents itself to prove its configuration. */
export function shouldProveConfig(
    { now, provenAt, revocationMs, hasConductorAnswered, lastReadAt }: ProofState,
): boolean {
    const share = hasConductorAnswered ? provenShareWithConductor : provenShareWithoutConductor;
    const isAgeing = provenAt === undefined || now - provenAt > share * revocationMs;
    return isAgeing && now - lastReadAt >= proofReadIntervalMs;
}
