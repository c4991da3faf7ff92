/** Creates the record of a request that a caller sent or another entry relayed. */

import type { RequestKey } from "@dandelionbank/read-ticket";
import type { CallerRequest } from "@dandelionbank/serve-callers";
import type { RelayMessage } from "@dandelionbank/types";
import { randomUUID } from "node:crypto";
import type { OpenRequest } from "./request_table.ts";

export function createRequestFromCaller(
  request: CallerRequest,
  context: { readonly key: RequestKey | undefined; readonly nowMs: number },
): OpenRequest {
  const { call, contract } = request;
  return {
    requestId: request.requestId,
    organisation: contract.organisation,
    pool: call.pool,
    fingerprint: request.fingerprint,
    idempotent: call.idempotent,
    resumable: call.idempotent && call.estimatedTokens > 0,
    promptPrefix: call.promptPrefix,
    estimatedTokens: call.estimatedTokens,
    method: request.method,
    path: call.path,
    contentType: request.contentType,
    priority: contract.priority,
    viewRevision: request.viewRevision,
    ticket: context.key?.ticket,
    keyText: request.key,
    body: request.body,
    arrivedMs: context.nowMs,
    isAdmitted: false,
  };
}

/** Assigns a new id, since the other entry may relay the same request again. */
export function createRequestFromRelay(
  message: RelayMessage,
  body: Buffer,
  context: { readonly key: RequestKey; readonly nowMs: number },
): OpenRequest {
  const { head } = message;
  return {
    requestId: randomUUID(),
    organisation: head.organisation,
    pool: message.pool,
    fingerprint: head.fingerprint,
    idempotent: head.idempotent,
    resumable: message.resumable,
    promptPrefix: "",
    estimatedTokens: message.estimatedTokens,
    method: head.method,
    path: head.path,
    contentType: head.contentType,
    priority: head.priority,
    viewRevision: head.viewRevision,
    ticket: context.key.ticket,
    keyText: head.key,
    body,
    arrivedMs: context.nowMs,
    isAdmitted: false,
  };
}
