/** Identifies the caller of a request by its bearer token. */

import { type CallerConfig, type Problem, problem, type ServiceConfig } from "@tamarackpath/core";
import { createHash, timingSafeEqual } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Returns the caller of `service` that holds the token of the Authorization header. */
export function authenticate(service: ServiceConfig, header: string | undefined): Either<Problem, CallerConfig> {
    const token = bearerPattern.exec(header ?? "")?.[1];
    if (token === undefined) {
        return Left(problem("unauthenticated", "The request needs an Authorization header with a bearer token."));
    }
    const digest = createHash("sha256").update(token).digest();
    const caller = service.callers.find(entry => timingSafeEqual(Buffer.from(entry.tokenSha256, "hex"), digest));
    return caller === undefined
        ? Left(problem("forbidden", "The token belongs to no caller of this service."))
        : Right(caller);
}
