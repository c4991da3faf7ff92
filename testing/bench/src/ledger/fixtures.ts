/** Keys and attempt heads for the bench `ledger`. */

import { createHash } from "node:crypto";
import type { AttemptHead } from "@dandelionbank/types";
import { formatTicket } from "@dandelionbank/read-ticket";

export const FINGERPRINT = createHash("sha256").update("body").digest("hex");

/** Creates a request key as a caller sends it: a ticket and a suffix. */
export function createKey(number: number, incarnation = "entry"): string {
  const ticket = {
    incarnation,
    revision: 41_234,
    issuedAtMs: number,
    expiresAtMs: number + 60_000,
  };
  const suffix = number.toString(36).padStart(12, "0");
  return `${formatTicket(ticket, "Zm9vYmFyZm9vYmFyZm9vYg")}/${suffix}`;
}

export function createHead(key: string): AttemptHead {
  return {
    attemptId: "",
    requestId: "",
    organisation: "acme",
    key,
    fingerprint: FINGERPRINT,
    entry: "entry",
    entryIncarnation: "entry",
    idempotent: false,
    method: "POST",
    path: "/services/parts/book",
    contentType: "application/json",
    priority: 5,
    timeLeftMs: 10_000,
    viewRevision: 41_234,
  };
}
