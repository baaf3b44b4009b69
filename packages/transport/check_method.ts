/** Method that every peer answers, to show that a path is open. @internal */
export const CHECK_METHOD = "transport.check";
