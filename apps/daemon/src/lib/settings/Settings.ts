/** The settings of one daemon: host and zone, addresses, the platform's services, secrets and the log. */

import { readToml } from "@tamarackpath/adapters";
import { type Finding, type HostId, type ZoneId } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import * as z from "zod";

const address = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    "an IP address and a port, such as 127.0.0.1:7100",
).refine(text => Number(text.split(":")[1]) <= maxPort, "a port from 0 to 65535");
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "a lower-case name of letters, digits, '.', '_' and '-'");
const url = z.url({ protocol: /^https?$/, error: "an http or https address" });
const path = z.string("the path of a file or folder").min(1, "the path of a file or folder");

const seed = z.string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,62}@(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, "HOST@ADDRESS, such as leon-2@10.0.0.2:7103")
    .transform(text => {
        const [host, peerAddress] = text.split("@");
        return { host: host as HostId, address: peerAddress! };
    });

const maxPort = 65_535;

/** Schema of the settings. The settings reference is generated from its descriptions. */
export const settingsSchema = z.strictObject({
    host: z.strictObject({
        id: name.transform(text => text as HostId).meta({ description: "Name of this host; it stays over restarts." }),
        zone: name.transform(text => text as ZoneId).meta({ description: "Availability zone of this host." }),
        data_folder: path.optional().meta({
            description: "Folder for bulk data. Only hosts with a disk set it; everything in it may be lost.",
        }),
    }),
    listen: z.strictObject({
        callers: address.meta({ description: "Address for trainers and other callers, behind the balancer." }),
        operators: address.meta({ description: "Address for operators, probes and metrics." }),
        peers: address.meta({ description: "Address for the other entry hosts." }),
    }),
    platform: z.strictObject({
        key_value: url.meta({ description: "Address of the key-value service." }),
        host_list: url.meta({ description: "Address of the list of live and leaving hosts." }),
    }),
    security: z.strictObject({
        secret_file: path.meta({ description: "File with the secret that hosts and operators share." }),
    }),
    membership: z.strictObject({
        seeds: z.array(seed).default([]).meta({
            description: "Hosts of this zone, as HOST@ADDRESS, that are tried besides those on the host list.",
        }),
    }).prefault({}),
    shutdown: z.strictObject({
        balancer_notice_ms: z.number().int().min(0).max(600_000).default(5000).meta({
            description:
                "Milliseconds for which a stopping host is not ready but still takes requests; longer than the balancer needs to notice.",
        }),
        finish_within_ms: z.number().int().min(0).max(86_400_000).default(60_000).meta({
            description: "Milliseconds that running requests then have before they are reported as unknown.",
        }),
    }).prefault({}),
    limits: z.strictObject({
        memory_mb: z.number().int().min(64).optional().meta({
            description:
                "Memory of this process in megabytes, from which the limits towards callers follow; 512 if not set.",
        }),
        max_descriptors: z.number().int().min(64).optional().meta({
            description: "Upper limit of this process's open descriptors, likewise; 4096 if not set.",
        }),
    }).prefault({}),
    log: z.strictObject({
        level: z.enum(["debug", "info", "warn", "error"]).default("info")
            .meta({ description: "Lowest level that is logged. Read again on SIGHUP." }),
    }).prefault({}),
});

/** Checked settings. */
export type Settings = z.output<typeof settingsSchema>;

/** Reads settings from the text of a TOML file. The findings include the line when it is known. */
export function readSettings(file: string, text: string): Either<readonly Finding[], Settings> {
    return readToml(settingsSchema, file, text);
}
