/** Schemas of the etcd v3 messages that the key-value client reads. */

import * as z from "zod";

const entrySchema = z.object({
    key: z.string(),
    value: z.string().optional(),
    mod_revision: z.string().optional(),
});

/** An entry as it is sent on the wire, with key and value in base64. */
export type WireEntry = z.output<typeof entrySchema>;

const headerSchema = z.object({ revision: z.string() });

export const rangeSchema = z.object({ header: headerSchema, kvs: z.array(entrySchema).default([]) });

export const txnSchema = z.object({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: z.object({ kvs: z.array(entrySchema).default([]) }).optional() }))
        .default([]),
});

export const grantSchema = z.object({ ID: z.string(), TTL: z.string() });

export const keepAliveSchema = z.object({ result: z.object({ TTL: z.string().default("0") }) });

export const watchLineSchema = z.object({
    result: z.object({
        canceled: z.boolean().default(false),
        events: z.array(z.object({ type: z.string().default("PUT"), kv: entrySchema })).default([]),
    }),
});
