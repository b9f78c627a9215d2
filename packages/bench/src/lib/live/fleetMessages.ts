/** Messages between the load generator and the process that runs the fleet's stand-ins. */

import { type PolicyName } from "@tamarackpath/core";

/** Options of the fleet process. */
export interface FleetStartOptions {
    readonly hosts: number;
    readonly engines: number;
    readonly policies: readonly PolicyName[];
    /** Milliseconds by which the load reports of engines lag. */
    readonly reportLagMs: number;
}

/** Commands of the load generator to the fleet process. */
export type FleetCommand =
    | { readonly kind: "start"; readonly start: FleetStartOptions; }
    | { readonly kind: "slow"; readonly engines: readonly number[]; readonly factor: number; }
    | { readonly kind: "refuse"; readonly engines: readonly number[]; readonly refuse: boolean; }
    | { readonly kind: "account"; }
    | { readonly kind: "close"; };

/** Replies of the fleet process. */
export type FleetReply =
    | { readonly kind: "started"; readonly urls: readonly string[]; readonly engineUrls: readonly string[]; }
    | { readonly kind: "account"; readonly tokens: readonly number[]; readonly hits: number; readonly misses: number; }
    | { readonly kind: "done"; };

/** Names of the services that are routed by `policy`. */
export function servicesOf(policy: PolicyName): { readonly rollout: string; readonly desk: string; } {
    return { rollout: `rollouts-${policy}`, desk: `desk-${policy}` };
}
