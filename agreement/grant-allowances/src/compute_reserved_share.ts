/**
 * Computes the part of a contract's limits that is reserved for one entry. The
 * reserved shares of all listed entries add up to exactly the limits. There is no
 * minimum share: with a minimum at each of N entries, an organisation with a
 * small limit could use N times that minimum. The remainder of concurrent
 * requests goes to entries in an order whose start depends on the organisation.
 */

import type { LimitShare } from "@dandelionbank/types";
import { NO_SHARE } from "./limit_share.ts";

export interface ReservationOptions {
  readonly organisation: string;
  readonly entry: string;
  /** Names of all entries among which the limits are divided. */
  readonly entries: readonly string[];
}

/** Returns the share of `limits` reserved for the entry; none if it isn't listed. */
export function computeReservedShare(
  limits: LimitShare,
  options: ReservationOptions,
): LimitShare {
  const names = [...new Set(options.entries)].sort();
  const index = names.indexOf(options.entry);
  if (index < 0) return NO_SHARE;
  const first = sumCharCodes(options.organisation) % names.length;
  const position = (index - first + names.length) % names.length;
  return {
    requestsPerSecond: limits.requestsPerSecond / names.length,
    concurrentRequests: divideInteger(limits.concurrentRequests, {
      parts: names.length,
      position,
    }),
    tokensPerMinute: limits.tokensPerMinute / names.length,
  };
}

function divideInteger(
  amount: number,
  { parts, position }: { readonly parts: number; readonly position: number },
): number {
  const whole = Math.floor(amount);
  const extra = position < whole % parts ? 1 : 0;
  return Math.floor(whole / parts) + extra;
}

function sumCharCodes(text: string): number {
  let sum = 0;
  for (let index = 0; index < text.length; index++) {
    sum = (sum * 31 + text.charCodeAt(index)) % 1_000_003;
  }
  return sum;
}
