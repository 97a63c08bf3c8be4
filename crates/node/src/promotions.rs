//! Requests to the platform to promote a member. They are rare, so each has its own connection.

use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PromotionOutcome;
use stakker::CX;
use stakker::after;
use stakker::fwd_to;
use stakker_mio::Ready;

use crate::driver::Driver;
use crate::store::HttpConnection;
use crate::store::HttpProgress;
use crate::store::warn_unreachable;

/// Time for the response to a promotion request.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A promotion request without a response.
pub(crate) struct PendingPromotion {
    connection: HttpConnection,
    group: GroupId,
    token: u64,
}

impl Driver {
    pub(crate) fn request_promotion(
        &mut self,
        cx: CX![],
        group: &GroupId,
        member: &MemberId,
        token: u64,
    ) {
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], promotion_ready(number) as (Ready));
        let mut bytes = Vec::new();
        let codec = &self.codecs.promotion;
        codec.encode(group, member, token, &mut bytes);
        let mut connection = match HttpConnection::open(cx, self.addresses.promotion, ready) {
            Ok(connection) => connection,
            Err(error) => {
                warn_unreachable("promote", &error.to_string());
                return self.promotion_finished(
                    cx,
                    group.clone(),
                    token,
                    PromotionOutcome::Unknown,
                );
            }
        };
        connection.send(&bytes);
        let group = group.clone();
        self.promotions.insert(
            number,
            PendingPromotion {
                connection,
                group,
                token,
            },
        );
        after!(PROMOTION_TIMEOUT, [cx], promotion_timed_out(number));
    }

    fn promotion_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let Some(pending) = self.promotions.get_mut(&number) else {
            return;
        };
        let outcome = match pending.connection.progress(&ready) {
            HttpProgress::Waiting => return,
            HttpProgress::Disconnected => PromotionOutcome::Unknown,
            HttpProgress::Answered(response) => self.codecs.promotion.decode(&response),
        };
        if let Some(pending) = self.promotions.remove(&number) {
            self.promotion_finished(cx, pending.group, pending.token, outcome);
        }
    }

    fn promotion_timed_out(&mut self, cx: CX![], number: u64) {
        if let Some(pending) = self.promotions.remove(&number) {
            self.promotion_finished(cx, pending.group, pending.token, PromotionOutcome::Unknown);
        }
    }

    fn promotion_finished(
        &mut self,
        cx: CX![],
        group: GroupId,
        token: u64,
        outcome: PromotionOutcome,
    ) {
        let event = PoolEvent::PromotionAnswered {
            group,
            token,
            outcome,
        };
        self.handle_event(cx, event);
    }
}
