//! Clients of the platform's services. Traits abstract the table service and the VM list, so that
//! other platforms can be supported.

mod claim_rows;
mod claim_table;
mod http_client;
mod quarantine_rows;
mod table;
mod vm_list;

pub use claim_rows::{ClaimKey, ClaimRowError, claim_key, decode_claim, encode_claim};
pub use claim_table::{ClaimTable, StoreSignal, SweptPage};
pub use http_client::{PlatformClient, PlatformError, PlatformReply};
pub use quarantine_rows::{QuarantineTable, TrialVerdict};
pub use table::{
    HttpTable, RowCondition, RowConflict, RowWrite, TableRow, TableService, TransactionOutcome,
};
pub use vm_list::{HttpVmList, VmEntry, VmLabels, VmList, VmRole, VmState};
