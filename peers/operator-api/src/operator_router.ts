/** Router with the procedures that operators call. */

import { integerBetween, nameField, textField } from "@dandelionbank/schemas";
import type { StatusReport, StoredObject, View } from "@dandelionbank/types";
import { initTRPC } from "@trpc/server";
import * as v from "valibot";
import type { Authentication } from "./authenticate.ts";
import {
  createCallError,
  describeError,
  translateStoreError,
} from "./call_error.ts";
import { DELETABLE_KINDS, WRITABLE_KINDS } from "./writable_kinds.ts";
import type { OperatorApiOptions } from "./options.ts";
import { deleteObject, setObject } from "./write_object.ts";
import type { DeleteReport, SetReport } from "./write_reports.ts";

const MAX_CHANGE_ID_LENGTH = 64;

export interface OperatorContext {
  readonly authentication: Authentication;
}

const REVISION = integerBetween({ min: 0, max: Number.MAX_SAFE_INTEGER });
const KIND = v.picklist(WRITABLE_KINDS, WRITABLE_KINDS.join(", "));
const DELETABLE_KIND = v.picklist(DELETABLE_KINDS, DELETABLE_KINDS.join(", "));
const EXPECTED_INPUT = "an object of the call's input";

const LIST_INPUT = v.strictObject({ kind: KIND }, EXPECTED_INPUT);
const GET_INPUT = v.strictObject(
  { kind: KIND, name: nameField() },
  EXPECTED_INPUT,
);
const SET_INPUT = v.strictObject({
  kind: KIND,
  name: nameField(),
  value: v.unknown(),
  /** Absent to create an object. */
  expectedRevision: v.optional(REVISION),
  changeId: textField(MAX_CHANGE_ID_LENGTH),
}, EXPECTED_INPUT);
const DELETE_INPUT = v.strictObject({
  kind: DELETABLE_KIND,
  name: nameField(),
  expectedRevision: REVISION,
}, EXPECTED_INPUT);

const trpc = initTRPC.context<OperatorContext>().create({
  isDev: false,
  errorFormatter: ({ shape, error }) => ({
    code: shape.code,
    message: shape.message,
    data: {
      code: shape.data.code,
      httpStatus: shape.data.httpStatus,
      error: describeError(error),
    },
  }),
});

export type OperatorRouter = ReturnType<typeof createOperatorRouter>;

export function createOperatorRouter(options: OperatorApiOptions) {
  const procedure = trpc.procedure.use(({ ctx, next }) =>
    next({ ctx: requireOperator(ctx.authentication, options) })
  );
  const objects = trpc.router({
    list: procedure.input(LIST_INPUT).query(({ input }) =>
      listObjects(input.kind, options)
    ),
    get: procedure.input(GET_INPUT).query(({ input }) =>
      getObject(input, options)
    ),
    set: procedure.input(SET_INPUT).mutation(
      ({ input, ctx }): Promise<SetReport> => {
        const { kind, name, value, expectedRevision, changeId } = input;
        const proposed = { kind, name, value };
        const call = { ...ctx, proposed, expectedRevision, changeId };
        return setObject(call, options);
      },
    ),
    delete: procedure.input(DELETE_INPUT).mutation(
      ({ input, ctx }): Promise<DeleteReport> =>
        deleteObject({ ...input, operator: ctx.operator }, options),
    ),
  });
  const status = procedure.query((): StatusReport => options.readStatus());
  return trpc.router({ objects, status });
}

interface AuthorizedContext {
  readonly operator: string;
  readonly view: View;
}

function requireOperator(
  authentication: Authentication,
  options: OperatorApiOptions,
): AuthorizedContext {
  const view = options.readView();
  if (authentication.kind === "notReady" || view === undefined) {
    throw createCallError("SERVICE_UNAVAILABLE", {
      code: "DANDELIONBANK_VIEW_UNKNOWN",
      message: "This entry has not read the platform yet",
      hint: "Ask another entry, or try again in some seconds",
      outcome: "notRun",
    });
  }
  if (authentication.kind === "operator") {
    return { operator: authentication.name, view };
  }
  options.logger.log("operatorRefused", { reason: authentication.reason });
  throw createCallError("UNAUTHORIZED", {
    code: "DANDELIONBANK_UNKNOWN_OPERATOR",
    message: "The call has no key of an operator",
    hint: "Send Authorization: Bearer KEY with the key of an operator's object",
    outcome: "notRun",
  });
}

async function listObjects(
  kind: v.InferOutput<typeof KIND>,
  { store }: OperatorApiOptions,
): Promise<readonly StoredObject[]> {
  try {
    return (await store.list(kind)).items;
  } catch (error) {
    throw translateStoreError(error);
  }
}

/** Resolves with `null` for a missing object, since JSON has no `undefined`. */
async function getObject(
  { kind, name }: v.InferOutput<typeof GET_INPUT>,
  { store }: OperatorApiOptions,
): Promise<StoredObject | null> {
  try {
    return await store.get(kind, name) ?? null;
  } catch (error) {
    throw translateStoreError(error);
  }
}
