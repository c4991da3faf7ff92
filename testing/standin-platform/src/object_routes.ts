/** Handles reads and conditional writes of objects. */

import {
  type Call,
  parseJson,
  type Reply,
} from "@dandelionbank/standin-common";
import type { ObjectKind, StoredObject } from "@dandelionbank/types";
import type { ObjectId, ObjectTable } from "./object_table.ts";

export interface ObjectCall {
  readonly objects: ObjectTable;
  readonly call: Call;
  readonly reply: Reply;
}

export function handleRead({ objects, call, reply }: ObjectCall): void {
  const path = parsePath(call.path);
  if (path === undefined) return refuseUnknownPath(reply);
  const { kind, name } = path;
  if (kind === undefined || name === undefined) {
    return reply.sendJson(200, objects.list(kind));
  }
  const object = objects.get({ kind, name });
  if (object === undefined) reply.sendJson(404, { message: "No such object" });
  else reply.sendJson(200, object);
}

export function handleWrite(
  objectCall: ObjectCall,
  options: { readonly valueLimitBytes: number },
): void {
  const { objects, call, reply } = objectCall;
  const { kind, name } = parsePath(call.path) ?? {};
  if (kind === undefined || name === undefined) return refuseUnknownPath(reply);
  if (call.body.length > options.valueLimitBytes) {
    return reply.sendJson(413, { message: "Value is too large" });
  }
  const current = objects.get({ kind, name });
  if (!meetsCondition(call, current)) {
    return reply.sendJson(412, { current: current ?? null });
  }
  if (call.method === "PUT") return putObject({ kind, name }, objectCall);
  reply.sendJson(200, { revision: objects.delete({ kind, name }) });
}

function putObject(id: ObjectId, { objects, call, reply }: ObjectCall): void {
  const { changeId, value } = Object(parseJson(call));
  if (typeof changeId !== "string" || value === undefined) {
    return reply.sendJson(400, { message: "No change id or value" });
  }
  reply.sendJson(200, objects.put({ ...id, changeId, value }));
}

function parsePath(
  path: string,
): { readonly kind?: ObjectKind; readonly name?: string } | undefined {
  const match = path.match(/^\/v1\/objects(?:\/([^/]+)(?:\/([^/]+))?)?$/);
  if (match === null) return undefined;
  const [, kind, name] = match;
  return {
    ...(kind === undefined ? {} : { kind: kind as ObjectKind }),
    ...(name === undefined ? {} : { name: decodeURIComponent(name) }),
  };
}

function refuseUnknownPath(reply: Reply): void {
  reply.sendJson(400, { message: "No such path" });
}

/** Whether the write's condition holds; false for a write without a condition. */
function meetsCondition(
  call: Call,
  current: StoredObject | undefined,
): boolean {
  if (call.headers["if-none-match"] === "*") return current === undefined;
  return current !== undefined &&
    call.headers["if-match"] === String(current.revision);
}
