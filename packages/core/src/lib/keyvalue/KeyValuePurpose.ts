/** The duties that call the key-value service, told apart by their keys, and the calls that each costs. */

/** Names of the duties. */
export const keyValuePurposes = ["config", "history", "versions", "leases", "claims", "other"] as const;

/** Names a duty. */
export type KeyValuePurpose = typeof keyValuePurposes[number];

const dutyByFolder: Readonly<Record<string, KeyValuePurpose>> = {
    config: "config",
    history: "history",
    versions: "versions",
    leases: "leases",
    claims: "claims",
};

/** The duty of a key, such as "config" for `tamarackpath/config/fleet`. */
export function purposeOfKey(key: string): KeyValuePurpose {
    return dutyByFolder[key.split("/")[1] ?? ""] ?? "other";
}
