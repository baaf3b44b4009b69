import type { OrderAction } from "@heroncleat/schema";

/** A POST request to the HTTP API of an upstream. */
type OrderRequest = {
  readonly path: string;
  readonly body: Readonly<Record<string, string>>;
};

/** Translates an order into a request to the upstream's HTTP API. */
export function orderRequest(order: OrderAction): OrderRequest {
  switch (order.action) {
    case "load_model":
      return {
        path: "/v1/load_lora_adapter",
        body: { lora_name: order.value, lora_path: order.value },
      };
    case "unload_model":
      return {
        path: "/v1/unload_lora_adapter",
        body: { lora_name: order.value },
      };
    case "set_role":
      return { path: "/v1/role", body: { role: order.value } };
  }
}
