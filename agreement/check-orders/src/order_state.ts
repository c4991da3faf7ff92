/** State, events and effects of the check of orders to one target. Plain data. */

/** Who gave an order, and which of that holder's orders it is. */
export interface OrderPosition {
  readonly fencingNumber: number;
  /** Rises with every order under the same number. */
  readonly sequence: number;
}

export interface Order extends OrderPosition {
  readonly orderId: string;
  /** The run of the agent that it was given to; a successor can't tell repeats. */
  readonly agentIncarnation: string;
  readonly body: string;
}

export type OrderRefusal =
  /** The floor has not been read yet: to be sent again. */
  | "floorUnknown"
  /** A holder with a higher number has given orders or holds the duty. */
  | "outdated"
  /** An order after it was taken, or this one itself. */
  | "repeated"
  /** It was given to another run of the agent: to be given anew under a new mark. */
  | "otherAgent"
  /** Too many wait: to be sent again. */
  | "queueFull";

export interface OrderState {
  readonly agentIncarnation: string;
  /** The lowest number that is accepted; absent until it was read. */
  readonly floor?: number;
  /** The last order that was taken. */
  readonly lastAccepted?: OrderPosition;
  /** The order that the target is carrying out. */
  readonly running?: Order;
  readonly queued: readonly Order[];
}

export type OrderEvent =
  /** From a read of the duty's object that began after the agent registered, or from a watch. */
  | { readonly type: "floorRead"; readonly fencingNumber: number }
  | { readonly type: "order"; readonly order: Order }
  /** The target answered, or its connection was closed. */
  | { readonly type: "orderEnded"; readonly orderId: string };

export type OrderEffect =
  | { readonly type: "forward"; readonly order: Order }
  | {
    readonly type: "refuse";
    readonly order: Order;
    readonly reason: OrderRefusal;
  }
  | { readonly type: "readFloor" }
  | {
    readonly type: "invariantViolated";
    readonly invariant: "forwardedNumberRises";
    readonly detail: string;
  };
