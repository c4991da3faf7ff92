/** Authenticates the operator who sent a request. */

import {
  findOperatorByKey,
  matchesDigest,
  readBearerKey,
} from "@dandelionbank/check-credential";
import type { IncomingMessage } from "node:http";
import type { OperatorApiOptions } from "./options.ts";

/** Name recorded for writes that use the bootstrap key of the entry's settings. */
export const BOOTSTRAP_OPERATOR = "bootstrap";

export type Authentication =
  | { readonly kind: "operator"; readonly name: string }
  | { readonly kind: "refused"; readonly reason: string }
  /** The entry has not read the platform's objects yet. */
  | { readonly kind: "notReady" };

export function authenticate(
  request: IncomingMessage,
  options: OperatorApiOptions,
): Authentication {
  const key = readBearerKey(request.headers.authorization);
  if (key === undefined) return { kind: "refused", reason: "no key" };
  const view = options.readView();
  if (view === undefined) return { kind: "notReady" };
  const operator = findOperatorByKey(view, key);
  if (operator !== undefined) return { kind: "operator", name: operator.name };
  const { bootstrapKeyDigest } = options;
  // An operator whose object is invalid is still one.
  const mayBootstrap = view.operators.size === 0 &&
    view.invalidOperators.size === 0 && bootstrapKeyDigest !== undefined;
  if (mayBootstrap && matchesDigest(key, bootstrapKeyDigest)) {
    return { kind: "operator", name: BOOTSTRAP_OPERATOR };
  }
  return { kind: "refused", reason: "unknown key" };
}
