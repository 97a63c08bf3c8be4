//! Orders to promote a member. They are rare, so each has a connection of its own.

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
use crate::store::HttpLink;
use crate::store::HttpProgress;
use crate::store::warn_unreachable;

/// Time for an answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(1_500);

/// An order without an answer yet.
pub(crate) struct Order {
    link: HttpLink,
    group: GroupId,
    token: u64,
}

impl Driver {
    pub(crate) fn order_promotion(
        &mut self,
        cx: CX![],
        group: &GroupId,
        member: &MemberId,
        token: u64,
    ) {
        let number = self.new_socket_number();
        let ready = fwd_to!([cx], order_ready(number) as (Ready));
        let mut bytes = Vec::new();
        let promotion = &self.borders.promotion;
        promotion.encode(group, member, token, &mut bytes);
        let mut link = match HttpLink::open(cx, self.addresses.promotion, ready) {
            Ok(link) => link,
            Err(error) => {
                warn_unreachable("promote", &error.to_string());
                return self.order_ended(cx, group.clone(), token, PromotionOutcome::Unknown);
            }
        };
        link.send(&bytes);
        let group = group.clone();
        self.orders.insert(number, Order { link, group, token });
        after!(ORDER_LIMIT, [cx], order_overdue(number));
    }

    fn order_ready(&mut self, cx: CX![], number: u64, ready: Ready) {
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        let outcome = match order.link.progress(&ready) {
            HttpProgress::Waiting => return,
            HttpProgress::Ended => PromotionOutcome::Unknown,
            HttpProgress::Answered(response) => self.borders.promotion.decode(&response),
        };
        if let Some(order) = self.orders.remove(&number) {
            self.order_ended(cx, order.group, order.token, outcome);
        }
    }

    fn order_overdue(&mut self, cx: CX![], number: u64) {
        if let Some(order) = self.orders.remove(&number) {
            self.order_ended(cx, order.group, order.token, PromotionOutcome::Unknown);
        }
    }

    fn order_ended(&mut self, cx: CX![], group: GroupId, token: u64, outcome: PromotionOutcome) {
        let event = PoolEvent::PromotionAnswered {
            group,
            token,
            outcome,
        };
        self.report(cx, event);
    }
}
