/** Events and effects of the distribution of views. */

import type {
  ObjectChange,
  ViewDelta,
  ViewMessage,
} from "@dandelionbank/types";

export type SpreadEvent =
  | { readonly type: "received"; readonly message: ViewMessage }
  | {
    /** The entries, in the same order at every process; empty until known. */
    readonly type: "entriesChanged";
    readonly entries: readonly string[];
  }
  | {
    /** The platform answered a read that started at `askedAtMs`. */
    readonly type: "platformRead";
    readonly askedAtMs: number;
    readonly delta: ViewDelta;
  }
  | {
    /** The platform's revision was read, without objects. */
    readonly type: "revisionRead";
    readonly askedAtMs: number;
    readonly revision: number;
  }
  | {
    /** The platform did not answer a read that started at `askedAtMs`. */
    readonly type: "readFailed";
    readonly askedAtMs: number;
  }
  | { readonly type: "watchDelivered"; readonly delta: ViewDelta }
  | { readonly type: "tick" };

export type SpreadEffect =
  | {
    readonly type: "send";
    readonly to: string;
    readonly message: ViewMessage;
  }
  | {
    /** Read the platform's revision, or list all objects if `listAll` is set. */
    readonly type: "readPlatform";
    readonly listAll: boolean;
  }
  | { readonly type: "watchChanged"; readonly watching: boolean }
  | {
    readonly type: "viewAdvanced";
    readonly revision: number;
    readonly changes: readonly ObjectChange[];
  }
  | {
    readonly type: "invariantViolated";
    readonly invariant: string;
    readonly detail: string;
  };
