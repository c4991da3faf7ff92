/**
 * The part of a contract's limits that is reserved for one entry. The
 * reserved shares of all entries of a list add up to the limits exactly: what
 * an entry reserves for itself is never lifted to a minimum, since a minimum
 * for each of N entries would let an organisation with a small limit use N
 * times that minimum. Whole requests that don't divide evenly go to entries
 * in an order that starts elsewhere for every organisation.
 */

import type { LimitShare } from "@dandelionbank/types";
import { NO_SHARE } from "./limit_share.ts";

export interface ReservationOptions {
  readonly organisation: string;
  readonly entry: string;
  /** Names of all entries among which the limits are divided. */
  readonly entries: readonly string[];
}

/** The share of `limits` reserved for the entry; nothing if it isn't listed. */
export function computeReservedShare(
  limits: LimitShare,
  place: ReservationOptions,
): LimitShare {
  const names = [...new Set(place.entries)].sort();
  const index = names.indexOf(place.entry);
  if (index < 0) return NO_SHARE;
  const first = sumCharCodes(place.organisation) % names.length;
  const position = (index - first + names.length) % names.length;
  return {
    requestsPerSecond: limits.requestsPerSecond / names.length,
    concurrentRequests: divideWhole(limits.concurrentRequests, {
      parts: names.length,
      position,
    }),
    tokensPerMinute: limits.tokensPerMinute / names.length,
  };
}

function divideWhole(
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
