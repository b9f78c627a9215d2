/** The purposes of calls to the key-value service, derived from the keys, for counting the calls of each. */

/** All purposes; they are the values of the metrics label `duty`. */
export const keyValuePurposes = ["config", "history", "versions", "leases", "claims", "other"] as const;

/** Purpose of a call to the key-value service. */
export type KeyValuePurpose = typeof keyValuePurposes[number];

const purposeBySegment: Readonly<Record<string, KeyValuePurpose>> = {
    config: "config",
    history: "history",
    versions: "versions",
    leases: "leases",
    claims: "claims",
};

/** Returns the purpose of calls with a key, such as "config" for `tamarackpath/config/fleet`. */
export function purposeOfKey(key: string): KeyValuePurpose {
    return purposeBySegment[key.split("/")[1] ?? ""] ?? "other";
}
