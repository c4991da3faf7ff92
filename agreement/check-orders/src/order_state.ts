/** State, events and effects of the check of orders to one target. All plain data. */

/** Position of an order among all orders: first by holder, then by sequence. */
export interface OrderPosition {
  readonly fencingNumber: number;
  /** Increases with every order under the same fencing number. */
  readonly sequence: number;
}

export interface Order extends OrderPosition {
  readonly orderId: string;
  /** Agent incarnation that the order is for; another one can't detect repeats. */
  readonly agentIncarnation: string;
  readonly body: string;
}

export type OrderRefusal =
  /** The floor has not been read yet: the sender should retry. */
  | "floorUnknown"
  /** A holder with a higher fencing number has given orders or holds the duty. */
  | "outdated"
  /** This order or a later one was already accepted. */
  | "repeated"
  /**
   * The order is for another incarnation of the agent: the sender has to issue it
   * again under a new position.
   */
  | "otherAgent"
  /** Too many orders are queued: the sender should retry. */
  | "queueFull";

export interface OrderState {
  readonly agentIncarnation: string;
  /** The lowest fencing number accepted; absent until it was read. */
  readonly floor?: number;
  /** Position of the last order that was accepted. */
  readonly lastAccepted?: OrderPosition;
  /** The order that was forwarded to the target and has not ended. */
  readonly running?: Order;
  readonly queued: readonly Order[];
}

export type OrderEvent =
  /**
   * Revision of the duty's object, from a watch or from a read that began after
   * the agent registered.
   */
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
