/** Messages between the entries, agents and store of the soak `leases`. */

import type { DutyObject, DutyRecord } from "@dandelionbank/hold-duty";
import type { Order } from "@dandelionbank/check-orders";

export interface WriteRequest {
  readonly type: "write";
  readonly changeId: string;
  readonly record: DutyRecord;
  readonly expectedRevision: number | undefined;
}

export type LeaseMessage =
  | WriteRequest
  | { readonly type: "read" }
  | {
    readonly type: "object";
    readonly object: DutyObject | null;
    /** ID of the write that is answered; absent for a read or a watch. */
    readonly changeId?: string;
    readonly written: boolean;
  }
  | { readonly type: "order"; readonly order: Order };
